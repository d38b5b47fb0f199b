package tanagerlane.places

import kotlin.time.Instant

/** A target whose registration lapsed and which is kept in use until [keptUntil]. */
public data class MissingTarget(
    val target: DirectTarget,
    val keptUntil: Instant,
)
