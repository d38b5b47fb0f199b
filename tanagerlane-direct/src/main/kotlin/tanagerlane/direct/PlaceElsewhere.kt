package tanagerlane.direct

import org.slf4j.LoggerFactory
import tanagerlane.places.DirectTarget
import tanagerlane.places.LoadBalancer
import tanagerlane.serving.AttemptEnd
import tanagerlane.serving.NextStep
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Decides whether requests leave targets that have fallen silent.
 *
 * A silent target may go on at any time, so a request leaves it only for a place that it already holds at another one.
 */
internal class PlaceElsewhere(
    private val loadBalancer: LoadBalancer,
    private val places: OnlinePlaces,
    private val promptGuard: PromptGuard,
    private val metrics: DirectMetrics,
) {
    /**
     * Returns whether [request] leaves [target], which is silent; a place for its next attempt is held then.
     *
     * New requests avoid the target for a while, also when this one stays.
     */
    fun leaves(
        request: OnlineRequest,
        target: DirectTarget,
        now: Instant,
    ): Boolean {
        val held = if (mayContinueElsewhere(request, now)) places.hold(request, target) else null
        if (held != null) {
            loadBalancer.pace { foundSilent(target.name, now) }
            metrics.silentTargetsLeft.increment()
            record("left", request, target, held, now)
        } else if (request.silentTarget != target.name) {
            request.silentTarget = target.name
            loadBalancer.pace { foundSilent(target.name, now) }
            metrics.silentTargetsKept.increment()
            record("kept", request, target, held = null, now)
        }
        return held != null
    }

    /** Returns how much longer [request] waits for the head of an answer from [target], or null if it does not. */
    fun furtherTime(
        request: OnlineRequest,
        target: DirectTarget,
        now: Instant,
    ): Duration? {
        val remaining = request.deadline - now
        return when {
            remaining < MINIMUM_FURTHER_TIME -> null
            leaves(request, target, now) -> null
            else -> minOf(remaining, SilenceWatch.DECISION_INTERVAL)
        }
    }

    private fun mayContinueElsewhere(
        request: OnlineRequest,
        now: Instant,
    ): Boolean {
        val runs = request.possibleRuns + 1
        val remaining = request.deadline - now
        val next = NextStep.after(AttemptEnd.LOST, request.route, runs, request.notRunAttempts, remaining)
        val isResumable = !request.isAnswerStarted || request.lastEvent != null
        return next == NextStep.TryElsewhere &&
            isResumable &&
            !promptGuard.isSuspected(request) &&
            promptGuard.quarantinedUntil(request) == null
    }

    private fun record(
        decision: String,
        request: OnlineRequest,
        target: DirectTarget,
        held: HeldPlace?,
        now: Instant,
    ): Unit =
        logger.info(
            "silent target {} request={} target={} next={} last_event={} remaining={}",
            decision,
            request.id,
            target.name,
            held?.target?.name,
            request.lastEvent,
            request.deadline - now,
        )

    private companion object {
        /** Time before the deadline in which a call is not extended any more. */
        val MINIMUM_FURTHER_TIME = 2.milliseconds
        val logger = LoggerFactory.getLogger(PlaceElsewhere::class.java)
    }
}
