package tanagerlane.attempts

/** What a sidecar does when an attempt is cancelled. */
public enum class CancelDecision {
    /** The target was called: cancel the call there; whatever it still answers is dropped. */
    STOP,

    /** The target was not called and will not be: take the attempt out of the queue. */
    NOT_STARTED,

    /** The attempt has ended or was never seen; a late offer of it will be refused. */
    NOTHING,
}
