package tanagerlane.direct

import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.channels.ChannelResult
import tanagerlane.runtime.AnswerPieces
import tanagerlane.streams.PartialEventTimer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Receives the pieces of an answer from a target that may fall silent.
 *
 * @param deadline time at which the answer has to be complete
 * @param leaves whether the silent target is to be left now; called again every [DECISION_INTERVAL] while it is silent
 */
internal class SilenceWatch(
    private val limits: SilenceLimits,
    private val deadline: Instant,
    private val now: () -> Instant,
    private val leaves: () -> Boolean,
) {
    private val eventTimer = PartialEventTimer(limits.event)
    private val maximumEventTimer = PartialEventTimer(limits.maximumEvent)
    private var waitingSince = now()
    private var nextDecisionAt = Instant.DISTANT_PAST

    /** Time for which the last call of [next] has waited. */
    val silence: Duration get() = now() - waitingSince

    /** Records a piece; [isInsideEvent] is whether it left an event unfinished, [hasEnded] whether it ended one. */
    fun update(
        isInsideEvent: Boolean,
        hasEnded: Boolean,
    ) {
        eventTimer.update(isInsideEvent, hasEnded, now())
        maximumEventTimer.update(isInsideEvent, hasEnded, now())
    }

    /** Waits for the next of [pieces]; returns null if the target is left or a limit is reached. */
    suspend fun next(pieces: AnswerPieces): ChannelResult<Buffer>? {
        waitingSince = now()
        while (true) {
            val wait = minOf(timeToLimit(now()), timeToDecision(now()))
            pieces.receiveWithin(wait)?.let { return it }
            if (timeToLimit(now()) <= Duration.ZERO) return null
            if (timeToDecision(now()) <= Duration.ZERO) {
                if (leaves()) return null
                nextDecisionAt = now() + DECISION_INTERVAL
            }
        }
    }

    private fun timeToLimit(now: Instant): Duration =
        minOf(deadline - now, limits.maximumSilence - (now - waitingSince), maximumEventTimer.timeLeft(now))

    private fun timeToDecision(now: Instant): Duration =
        maxOf(minOf(limits.silence - (now - waitingSince), eventTimer.timeLeft(now)), nextDecisionAt - now)

    companion object {
        /** Time between two decisions whether a silent target is left. */
        val DECISION_INTERVAL = 250.milliseconds
    }
}
