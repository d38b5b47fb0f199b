package tanagerlane.attempts

/** State of the current attempt of a request. */
public enum class AttemptState {
    /** A target is being picked. */
    PICKING,

    /** The offer was sent; neither an acceptance nor a refusal was received. */
    OFFERED,

    /** The sidecar accepted the attempt. */
    ACCEPTED,

    /** Part of the answer was received. */
    STREAMING,

    /** The outcome is being resolved over a new connection. */
    RESOLVING,

    /** The caller received the whole answer or disconnected. */
    DONE,

    /** The caller was refused. */
    REFUSED,
}
