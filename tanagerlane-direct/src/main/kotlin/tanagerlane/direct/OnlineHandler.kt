package tanagerlane.direct

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import org.slf4j.LoggerFactory
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.places.DirectTarget
import tanagerlane.places.LoadBalancer
import tanagerlane.quarantine.LossStage
import tanagerlane.serving.AttemptEnd
import tanagerlane.serving.NextStep
import tanagerlane.serving.RouteKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Sends callers' requests to targets until one has answered. */
internal class OnlineHandler(
    private val loadBalancer: LoadBalancer,
    private val places: OnlinePlaces,
    private val client: TargetClient,
    private val headers: RequestHeaders,
    private val forwarder: AnswerForwarder,
    private val promptGuard: PromptGuard,
    private val resumption: StreamResumption,
    private val metrics: DirectMetrics,
    private val now: () -> Instant,
) {
    private val elsewhere = PlaceElsewhere(loadBalancer, places, promptGuard, metrics)

    /** Serves [request] until it is answered, refused or aborted. */
    suspend fun serve(request: OnlineRequest) {
        try {
            serveInTurn(request)
        } finally {
            places.release(request)
        }
    }

    private suspend fun serveInTurn(request: OnlineRequest) {
        if (request.lastEvent != null && request.route.kind == RouteKind.STREAM) {
            resumption.resume(request)?.let { return refuseOrAbort(request, CallerRefusal(it, RunState.NOT_RUN)) }
        }
        while (true) {
            when (val step = attempt(request) ?: return) {
                NextStep.TryElsewhere -> resumption.confirmBefore(request)
                NextStep.ForwardError -> return forwardError(request)
                is NextStep.GiveUp -> return refuseOrAbort(request, CallerRefusal(step.reason, step.runState))
            }
        }
    }

    private fun forwardError(request: OnlineRequest) {
        val error = request.error
        if (error == null || request.isAnswerStarted) {
            refuseOrAbort(request, CallerRefusal(RefusalReason.DEADLINE_EXCEEDED, RunState.UNKNOWN))
        } else {
            forwarder.answer(request, error)
        }
    }

    /** Sends the request to one target; returns the next step, or null if the request has its final answer. */
    private suspend fun attempt(request: OnlineRequest): NextStep? {
        if (promptGuard.quarantinedUntil(request) != null) {
            return withoutTarget(request, RefusalReason.QUARANTINED)
        }
        val next =
            places.use(request) { target ->
                // The verdict may have been reached while the request waited for its place.
                if (promptGuard.quarantinedUntil(request) != null) {
                    return@use withoutTarget(request, RefusalReason.QUARANTINED)
                }
                val end = callTarget(request, target) ?: return@use null
                recordEnd(request, target, end)
                stepAfter(end, request)
            }
        return next.getOrElse { withoutTarget(request, it) }
    }

    private fun stepAfter(
        end: AttemptEnd,
        request: OnlineRequest,
    ): NextStep {
        val remaining = request.deadline - now()
        val step = NextStep.after(end, request.route, request.possibleRuns, request.notRunAttempts, remaining)
        val isFurtherCrashLikely = end == AttemptEnd.LOST && promptGuard.isSuspected(request)
        return if (step == NextStep.TryElsewhere && isFurtherCrashLikely) {
            NextStep.GiveUp(RefusalReason.OUTCOME_UNKNOWN, RunState.UNKNOWN)
        } else {
            step
        }
    }

    private fun withoutTarget(
        request: OnlineRequest,
        reason: RefusalReason,
    ): NextStep {
        val runState = if (request.possibleRuns == 0) RunState.NOT_RUN else RunState.UNKNOWN
        val isVersionGone = reason == RefusalReason.NO_TARGET && request.origin != null
        return NextStep.GiveUp(if (isVersionGone) RefusalReason.NOT_RESUMABLE else reason, runState)
    }

    private fun recordEnd(
        request: OnlineRequest,
        target: DirectTarget,
        end: AttemptEnd,
    ) {
        if (end == AttemptEnd.NOT_RUN) request.notRunAttempts++ else request.possibleRuns++
        metrics.attempts(end).increment()
        logger.info(
            "attempt ended request={} target={} version={} end={} handed={} refusals={} last_event={} remaining={}",
            request.id,
            target.name,
            target.version,
            end,
            request.possibleRuns,
            request.notRunAttempts,
            request.lastEvent,
            request.deadline - now(),
        )
    }

    /** Returns the outcome of the attempt, or null if the request has its final answer. */
    private suspend fun callTarget(
        request: OnlineRequest,
        target: DirectTarget,
    ): AttemptEnd? {
        val remaining = request.deadline - now()
        val outgoing =
            TargetRequest(
                id = request.id,
                method = request.exchange.method,
                uri = request.exchange.uri,
                headers =
                    headers.forCaller(
                        request.exchange.headers,
                        target,
                        request.workspace?.name,
                        remaining,
                        request.lastEvent,
                    ),
                body = request.body,
            )
        val sentAt = now()
        val furtherTime = { elsewhere.furtherTime(request, target, now()) }
        return client.call(target, outgoing, headTimeout(request, remaining), furtherTime).fold(
            success = { answer ->
                try {
                    forwarder.forward(request, target, answer) { elsewhere.leaves(request, target, now()) }
                } finally {
                    answer.close()
                }
            },
            failure = { fault ->
                logger.info("call failed request={} target={} fault={}", request.id, target.name, fault)
                if (!isPastDeadline(request, fault)) {
                    loadBalancer.failed(target.name, now())
                }
                if (fault is CallFault.Lost) {
                    promptGuard.lost(target, request, LossStage.WAITING, sentAt)
                }
                if (fault is CallFault.NotSent) AttemptEnd.NOT_RUN else AttemptEnd.LOST
            },
        )
    }

    /** Whether the call ended because the caller's deadline passed, which says nothing about the target. */
    private fun isPastDeadline(
        request: OnlineRequest,
        fault: CallFault,
    ): Boolean = fault is CallFault.TimedOut && now() >= request.deadline

    /** Time for the head of an answer, after which another target is considered where one may be tried. */
    private fun headTimeout(
        request: OnlineRequest,
        remaining: Duration,
    ): Duration {
        val mayRepeat = request.route.isRepeatable && request.possibleRuns + 1 < request.route.attempts
        return if (mayRepeat) {
            minOf(remaining, maxOf(request.route.objective * OBJECTIVES_PER_HEAD_TIMEOUT, MINIMUM_HEAD_TIMEOUT))
        } else {
            remaining
        }
    }

    private fun refuseOrAbort(
        request: OnlineRequest,
        refusal: CallerRefusal,
    ) {
        metrics.refused(refusal.reason).increment()
        logger.info(
            "request refused request={} reason={} run_state={} handed={} age={} has_begun={} place={}",
            request.id,
            refusal.reason,
            refusal.runState,
            request.possibleRuns,
            now() - request.exchange.arrivedAt,
            request.isAnswerStarted,
            request.waitingRefusal?.reason,
        )
        val isFinal = refusal.reason == RefusalReason.NOT_RESUMABLE
        val forecast = if (isFinal) request.deadline - now() else request.waitingRefusal?.retryAfter ?: RETRY_AFTER
        val retryAfter = promptGuard.quarantinedUntil(request)?.let { it - now() } ?: forecast
        if (request.isAnswerStarted) request.exchange.abort() else request.exchange.refuse(refusal, retryAfter)
    }

    private companion object {
        /** Timeout for the head of an answer, as a multiple of the route's objective. */
        const val OBJECTIVES_PER_HEAD_TIMEOUT = 2
        val MINIMUM_HEAD_TIMEOUT = 200.milliseconds
        val RETRY_AFTER = 300.milliseconds
        val logger = LoggerFactory.getLogger(OnlineHandler::class.java)
    }
}
