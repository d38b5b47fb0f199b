package tanagerlane.attempts

/** Where the current attempt of a request stands. */
public enum class AttemptState {
    /** A target is being picked. */
    PICKING,

    /** The offer was sent; neither acceptance nor refusal was heard. */
    OFFERED,

    /** The sidecar has the attempt. */
    ACCEPTED,

    /** Part of the answer has come. */
    STREAMING,

    /** The outcome is sought over a new connection. */
    RESOLVING,

    /** The caller has the whole answer, or has gone. */
    DONE,

    /** The caller was refused. */
    REFUSED,
}
