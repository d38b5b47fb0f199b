package tanagerlane.places

/** Whether a process may send a target one more request; the values are in order of preference. */
public enum class PaceDecision {
    /** The target needs a request so that more can be learned of it. */
    PROBE,

    /** The target may be sent a request. */
    ADMITTED,

    /** As many requests are in flight as the target is expected to bear; used if no target is admitted. */
    LIMITED,

    /** The target has failed; used if no other target is left, since the fault may be in this process. */
    HELD,

    /** The limit that the configuration declares is used up; never used. */
    FORBIDDEN,
}
