package tanagerlane.serving

/** How one attempt at a target ended without an answer that can be passed on. */
public enum class AttemptEnd {
    /** The target certainly did not run the request. */
    NOT_RUN,

    /** The target may have run the request; nothing or only a part of its answer came. */
    LOST,

    /** The target answered with an error of its own. */
    FAILED,
}
