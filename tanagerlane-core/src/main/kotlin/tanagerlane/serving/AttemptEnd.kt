package tanagerlane.serving

/** Outcome of an attempt at a target without an answer that can be passed on. */
public enum class AttemptEnd {
    /** The target certainly did not run the request. */
    NOT_RUN,

    /** The target may have run the request; none or only a part of its answer was received. */
    LOST,

    /** The target answered with an error. */
    FAILED,
}
