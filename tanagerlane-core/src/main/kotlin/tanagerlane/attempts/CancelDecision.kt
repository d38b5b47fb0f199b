package tanagerlane.attempts

/** What a sidecar does when an attempt is cancelled. */
public enum class CancelDecision {
    /** The target was called: cancel that call; any further output of the target is discarded. */
    STOP,

    /** The target was not called and will not be: remove the attempt from the queue. */
    NOT_STARTED,

    /** The attempt has ended or was never seen; a late offer of it will be refused. */
    NOTHING,
}
