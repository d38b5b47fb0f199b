package tanagerlane.direct

import tanagerlane.callers.CallerWait

/**
 * State of the current request of a connection.
 *
 * @property isBodyMissing whether the head was decoded and the end of the body is still to come
 */
internal enum class GatePhase(
    val isBodyMissing: Boolean = false,
) {
    /** No request has begun. */
    IDLE,

    /** A head arrives. */
    HEAD,

    /** The head was decoded, and the body is not admitted yet. */
    HELD(isBodyMissing = true),

    /** The body arrives. */
    BODY(isBodyMissing = true),

    /** The whole request was decoded, and its answer has not been written to the socket. */
    RUNNING,

    /** The last answer was given, and what still arrives is discarded. */
    CLOSING,
    ;

    /** What the connection waits for unless the caller has an answer to read. */
    val callerWait: CallerWait get() = if (this == HELD || this == RUNNING) CallerWait.ANSWER else CallerWait.REQUEST
}
