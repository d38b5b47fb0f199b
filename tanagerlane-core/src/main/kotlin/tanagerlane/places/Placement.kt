package tanagerlane.places

/** Where a request of a caller should go. */
public sealed interface Placement {
    /** To [target]. */
    public data class At(
        val target: DirectTarget,
    ) : Placement

    /** Nowhere now: each target has as many requests waiting as may wait. */
    public data object Full : Placement

    /** Nowhere: no target of the service is known. */
    public data object NoTarget : Placement
}
