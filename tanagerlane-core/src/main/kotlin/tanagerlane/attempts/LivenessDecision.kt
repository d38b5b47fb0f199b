package tanagerlane.attempts

import kotlin.time.Instant

/** What to do with a connection, as decided by [SilenceDetector.decide]. */
public sealed interface LivenessDecision {
    /** Decide again at [until]. */
    public data class Wait(
        val until: Instant,
    ) : LivenessDecision

    /** Send a ping with [nonce] and decide again at [until]. */
    public data class SendPing(
        val nonce: Long,
        val until: Instant,
    ) : LivenessDecision

    /** The silence timeout has expired: replace the connection. */
    public data object Replace : LivenessDecision
}
