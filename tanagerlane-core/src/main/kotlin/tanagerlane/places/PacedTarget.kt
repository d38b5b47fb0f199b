package tanagerlane.places

/** A target with what its pacing decides about one more request. */
internal data class PacedTarget(
    val target: DirectTarget,
    val decision: PaceDecision,
)
