package tanagerlane.attempts

import kotlin.time.Instant

/**
 * Decides whether one connection still carries data; used by one thread at a time.
 *
 * After a pause of this host the peer's bytes may still wait to be read, so silence is then measured anew.
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

    /** Notes that something was received. */
    public fun received(now: Instant) {
        receivedAt = maxOf(receivedAt, now)
    }

    /** Notes the answer to the ping with [answered]; an unknown one only counts as received. */
    public fun pongReceived(
        answered: Long,
        now: Instant,
    ) {
        received(now)
        val sentAt = pings[answered] ?: return
        answeredProbeSentAt = maxOf(answeredProbeSentAt, sentAt)
        pings.keys.removeIf { it <= answered }
    }

    /** Decides what to do now. */
    public fun decide(now: Instant): LivenessDecision {
        if (now - decidedAt >= settings.pauseThreshold) {
            receivedAt = now
        }
        decidedAt = now
        return when {
            now - receivedAt >= settings.silenceTimeout -> LivenessDecision.Replace
            now - pingedAt >= settings.pingInterval -> ping(now)
            else -> LivenessDecision.Wait(pingedAt + settings.pingInterval)
        }
    }

    private fun ping(now: Instant): LivenessDecision {
        nonce++
        pingedAt = now
        pings[nonce] = now
        return LivenessDecision.SendPing(nonce, now + settings.pingInterval)
    }
}
