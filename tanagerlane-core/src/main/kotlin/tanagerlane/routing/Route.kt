package tanagerlane.routing

import tanagerlane.model.Incarnation
import tanagerlane.model.TargetName

/** A target that was picked; each must be given back by [Router.finished]. */
public data class Route(
    val target: TargetName,
    val incarnation: Incarnation,
)
