package tanagerlane.attempts

import kotlin.time.Instant

/** What to do about a connection, from [SilenceDetector.decide]. */
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

    /** The connection carries nothing any more: replace it. */
    public data object Replace : LivenessDecision
}
