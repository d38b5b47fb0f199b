package tanagerlane.places

/** The target selected for an online request, or why there is none. */
public sealed interface Placement {
    /** The request goes to [target]. */
    public data class At(
        val target: DirectTarget,
    ) : Placement

    /** No target can accept the request now: the queue of the best one is full. */
    public data object Full : Placement

    /** No target of the service is known. */
    public data object NoTarget : Placement
}
