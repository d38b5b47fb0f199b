package tanagerlane.places

import kotlin.time.Instant

/** A target that lapsed from the listing and is kept for a while. */
public data class MissingTarget(
    val target: DirectTarget,
    val keptUntil: Instant,
)
