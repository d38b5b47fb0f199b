package tanagerlane.attempts

/** Whether a target may be called for an attempt. */
public sealed interface StartDecision {
    /** Call the target. */
    public data object Call : StartDecision

    /** Do not call the target; [delivery] tells the sender so where it still listens. */
    public data class Skip(
        val delivery: Delivery?,
    ) : StartDecision
}
