package tanagerlane.routing

import tanagerlane.model.Incarnation
import tanagerlane.model.TargetName

/** A selected target, counted as one request in flight until [Router.finished] is called for it. */
public data class Route(
    val target: TargetName,
    val incarnation: Incarnation,
)
