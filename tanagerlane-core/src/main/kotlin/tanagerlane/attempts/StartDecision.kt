package tanagerlane.attempts

/** Decision on whether the target may be called for an attempt. */
public sealed interface StartDecision {
    /** Call the target. */
    public data object Call : StartDecision

    /** Do not call the target; send [delivery], if any, to notify the sender. */
    public data class Skip(
        val delivery: Delivery?,
    ) : StartDecision
}
