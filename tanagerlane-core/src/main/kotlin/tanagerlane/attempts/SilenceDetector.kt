package tanagerlane.attempts

import kotlin.time.Instant

/**
 * Detects whether one connection still carries data. Not thread-safe.
 *
 * After a pause of this host, bytes from the peer may still be waiting to be read, so the silence timeout is restarted.
 *
 * @param openedAt when this host sent its hello on the connection
 */
public class SilenceDetector(
    openedAt: Instant,
    private val settings: LivenessSettings = LivenessSettings(),
) {
    /** When this host sent the newest hello or ping that the peer answered; see [OfferSource.answeredProbeSentAt]. */
    public var answeredProbeSentAt: Instant = openedAt
        private set

    private val pings = LinkedHashMap<Long, Instant>()
    private var nonce = 0L
    private var receivedAt = openedAt
    private var pingedAt = openedAt
    private var decidedAt = openedAt

    /** Records that data was received at [now]. */
    public fun received(now: Instant) {
        receivedAt = maxOf(receivedAt, now)
    }

    /** Records the answer to the ping with the nonce [answeredNonce]; an unknown nonce only counts as received data. */
    public fun pongReceived(
        answeredNonce: Long,
        now: Instant,
    ) {
        received(now)
        val sentAt = pings[answeredNonce] ?: return
        answeredProbeSentAt = maxOf(answeredProbeSentAt, sentAt)
        pings.keys.removeIf { it <= answeredNonce }
    }

    /** Decides what to do with the connection at [now]. */
    public fun decide(now: Instant): LivenessDecision {
        if (now - decidedAt >= settings.pauseThreshold) {
            receivedAt = now
        }
        decidedAt = now
        return when {
            now - receivedAt >= settings.silenceTimeout -> LivenessDecision.Replace
            now - pingedAt >= settings.pingInterval -> sendPing(now)
            else -> LivenessDecision.Wait(pingedAt + settings.pingInterval)
        }
    }

    private fun sendPing(now: Instant): LivenessDecision {
        nonce++
        pingedAt = now
        pings[nonce] = now
        return LivenessDecision.SendPing(nonce, now + settings.pingInterval)
    }
}
