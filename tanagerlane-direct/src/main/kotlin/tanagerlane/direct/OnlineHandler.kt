package tanagerlane.direct

import com.github.michaelbull.result.fold
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestClass
import tanagerlane.model.RunState
import tanagerlane.places.DirectTarget
import tanagerlane.places.LoadBalancer
import tanagerlane.places.Placement
import tanagerlane.runtime.AnswerPieces
import tanagerlane.serving.AttemptEnd
import tanagerlane.serving.NextStep
import tanagerlane.serving.RouteKind
import tanagerlane.streams.AnswerLimits
import tanagerlane.streams.EventAssembler
import tanagerlane.streams.PartialEventTimer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Sends callers' requests to targets and passes the answers on.
 *
 * @param onPlacesChanged called when this process has more or fewer requests at a target than before
 */
internal class OnlineHandler(
    private val places: LoadBalancer,
    private val client: TargetClient,
    private val headers: RequestHeaders,
    private val names: HeaderNames,
    private val metrics: DirectMetrics,
    private val now: () -> Instant,
    private val onPlacesChanged: () -> Unit,
) {
    /** Serves [request] to its end. */
    suspend fun serve(request: OnlineRequest) {
        var step: NextStep = NextStep.TryElsewhere
        while (step == NextStep.TryElsewhere) {
            step = attempt(request) ?: return
        }
        if (step is NextStep.GiveUp) {
            giveUp(request, CallerRefusal(step.reason, step.runState))
        }
    }

    /** Returns what to do next, or null when the request has its final answer. */
    private suspend fun attempt(request: OnlineRequest): NextStep? {
        val target =
            when (val placement = places.place(request.service, request.tried, now())) {
                is Placement.At -> placement.target
                Placement.Full -> return unplaced(request, RefusalReason.OVERLOADED)
                Placement.NoTarget -> return unplaced(request, RefusalReason.NO_TARGET)
            }
        request.tried += target.name
        places.started(target.name, RequestClass.ONLINE)
        onPlacesChanged()
        try {
            val end = run(request, target) ?: return null
            noteEnd(request, target, end)
            val remaining = request.deadline - now()
            return NextStep.after(end, request.route, request.handed, request.refusals, remaining)
        } finally {
            places.ended(target.name, RequestClass.ONLINE)
            onPlacesChanged()
        }
    }

    private fun unplaced(
        request: OnlineRequest,
        reason: RefusalReason,
    ): NextStep {
        val runState = if (request.handed == 0) RunState.NOT_RUN else RunState.UNKNOWN
        return NextStep.GiveUp(reason, runState)
    }

    private fun noteEnd(
        request: OnlineRequest,
        target: DirectTarget,
        end: AttemptEnd,
    ) {
        if (end == AttemptEnd.NOT_RUN) request.refusals++ else request.handed++
        metrics.attempts(end).increment()
        logger.info(
            "attempt ended request={} target={} end={} handed={} refusals={} last_event={} remaining={}",
            request.id,
            target.name,
            end,
            request.handed,
            request.refusals,
            request.lastEvent,
            request.deadline - now(),
        )
    }

    /** Returns how the attempt ended, or null when the request has its final answer. */
    private suspend fun run(
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
        return client.call(target, outgoing, patienceFor(request, remaining)).fold(
            success = { answer ->
                try {
                    passOn(request, target, answer)
                } finally {
                    answer.close()
                }
            },
            failure = { fault ->
                logger.info("call failed request={} target={} fault={}", request.id, target.name, fault)
                if (!isOutOfTime(request, fault)) {
                    places.failed(target.name, now())
                }
                if (fault is CallFault.NotSent) AttemptEnd.NOT_RUN else AttemptEnd.LOST
            },
        )
    }

    /** Whether the call ended since the caller's time was over, which says nothing about the target. */
    private fun isOutOfTime(
        request: OnlineRequest,
        fault: CallFault,
    ): Boolean = fault is CallFault.TimedOut && now() >= request.deadline

    /** Time for the head of an answer; shorter where another target may still be tried. */
    private fun patienceFor(
        request: OnlineRequest,
        remaining: Duration,
    ): Duration {
        val mayRepeat = request.route.isRepeatable && request.handed + 1 < request.route.attempts
        return if (mayRepeat) {
            minOf(
                remaining,
                maxOf(request.route.objective * OBJECTIVE_SHARE, SHORTEST_PATIENCE),
            )
        } else {
            remaining
        }
    }

    private suspend fun passOn(
        request: OnlineRequest,
        target: DirectTarget,
        answer: TargetAnswer,
    ): AttemptEnd? =
        when {
            answer.isNotRun(names) -> refused(target, answer)
            answer.status in SUCCESS && request.route.kind == RouteKind.STREAM -> passStream(request, target, answer)
            else -> passWhole(request, target, answer)
        }

    private fun refused(
        target: DirectTarget,
        answer: TargetAnswer,
    ): AttemptEnd {
        if (answer.isMisdirected) {
            places.failed(target.name, now())
        }
        return AttemptEnd.NOT_RUN
    }

    private suspend fun passWhole(
        request: OnlineRequest,
        target: DirectTarget,
        answer: TargetAnswer,
    ): AttemptEnd? {
        val content = withTimeoutOrNull(request.deadline - now()) { contentOf(answer.pieces) }
        if (content == null) {
            places.failed(target.name, now())
            return AttemptEnd.LOST
        }
        val isFailure = answer.status >= SERVER_ERROR
        if (isFailure) {
            places.failed(target.name, now())
        } else {
            places.succeeded(target.name)
        }
        if (isFailure && request.route.isRepeatable && request.handed + 1 < request.route.attempts) {
            return AttemptEnd.FAILED
        }
        if (request.hasBegun) {
            return AttemptEnd.LOST
        }
        request.exchange.answer(answer.status, answer.headers.endToEndHeaders(), content)
        metrics.answered(request.route.kind, now() - request.exchange.arrivedAt)
        logger.info(
            "request answered request={} target={} status={} age={}",
            request.id,
            target.name,
            answer.status,
            now() - request.exchange.arrivedAt,
        )
        return null
    }

    /** Returns the whole body, or null when it broke off or is over [AnswerLimits.MAXIMUM_ANSWER_BYTES]. */
    private suspend fun contentOf(pieces: AnswerPieces): Buffer? {
        val content = Buffer.buffer()
        while (true) {
            val piece = pieces.receiveCatching()
            piece.exceptionOrNull()?.let {
                logger.info("body broke off bytes={} cause={}", content.length(), it.toString())
                return null
            }
            content.appendBuffer(piece.getOrNull() ?: return content)
            if (content.length() > AnswerLimits.MAXIMUM_ANSWER_BYTES) {
                logger.info("body too long bytes={} most={}", content.length(), AnswerLimits.MAXIMUM_ANSWER_BYTES)
                return null
            }
        }
    }

    private suspend fun passStream(
        request: OnlineRequest,
        target: DirectTarget,
        answer: TargetAnswer,
    ): AttemptEnd? {
        val assembler = EventAssembler()
        val begun = PartialEventTimer(silenceBound(request) * SILENCES_OF_EVENT)
        while (true) {
            val silence = minOf(request.deadline - now(), silenceBound(request), begun.timeLeft(now()))
            val piece =
                answer.pieces.tryReceive().takeIf { it.isSuccess }
                    ?: withTimeoutOrNull(silence) { answer.pieces.receiveCatching() }
                    ?: return broken(request, target, "no whole event, waited $silence for its next bytes")
            piece.exceptionOrNull()?.let { return broken(request, target, it.toString()) }
            val bytes = piece.getOrNull() ?: break
            val events = assembler.accept(bytes.bytes)
            for (event in events) {
                begin(request, answer)
                request.lastEvent = event.id ?: request.lastEvent
                request.exchange.write(Buffer.buffer(event.bytes.toByteArray()))
            }
            if (assembler.isOverlong) {
                return broken(request, target, "event over ${AnswerLimits.MAXIMUM_EVENT_BYTES} bytes")
            }
            begun.update(assembler.isInsideEvent, events.isNotEmpty(), now())
        }
        if (assembler.isInsideEvent || !answer.hasLength) {
            return broken(request, target, "ended in the middle")
        }
        begin(request, answer)
        request.exchange.end()
        places.succeeded(target.name)
        metrics.answered(request.route.kind, now() - request.exchange.arrivedAt)
        logger.info(
            "stream ended request={} target={} last_event={} age={}",
            request.id,
            target.name,
            request.lastEvent,
            now() - request.exchange.arrivedAt,
        )
        return null
    }

    /** Sends the head of the first target's answer; a stream keeps it however many targets follow. */
    private fun begin(
        request: OnlineRequest,
        answer: TargetAnswer,
    ) {
        if (!request.hasBegun) {
            request.exchange.begin(answer.status, answer.headers.endToEndHeaders())
        }
    }

    private fun broken(
        request: OnlineRequest,
        target: DirectTarget,
        cause: String,
    ): AttemptEnd {
        logger.info(
            "stream broke off request={} target={} last_event={} cause={}",
            request.id,
            target.name,
            request.lastEvent,
            cause,
        )
        places.failed(target.name, now())
        return AttemptEnd.LOST
    }

    private fun silenceBound(request: OnlineRequest): Duration {
        val mayRepeat = request.route.isRepeatable && request.handed + 1 < request.route.attempts
        val pause = request.route.longestPause ?: return LONGEST_SILENCE
        return if (mayRepeat) pause * PAUSES_OF_SILENCE else LONGEST_SILENCE
    }

    private fun giveUp(
        request: OnlineRequest,
        refusal: CallerRefusal,
    ) {
        metrics.refused(refusal.reason).increment()
        logger.info(
            "request refused request={} reason={} run_state={} handed={} age={} has_begun={}",
            request.id,
            refusal.reason,
            refusal.runState,
            request.handed,
            now() - request.exchange.arrivedAt,
            request.hasBegun,
        )
        if (request.hasBegun) request.exchange.abort() else request.exchange.refuse(refusal, RETRY_AFTER)
    }

    private companion object {
        const val SERVER_ERROR = 500
        val SUCCESS = 200..299

        /** Time for the head of an answer, as a multiple of the route's objective. */
        const val OBJECTIVE_SHARE = 2
        val SHORTEST_PATIENCE = 200.milliseconds

        /** Pauses between events after which a stream is taken to be lost. */
        const val PAUSES_OF_SILENCE = 2
        val LONGEST_SILENCE = 30_000.milliseconds

        /** Time for the whole of one event, in longest silences. */
        const val SILENCES_OF_EVENT = 4
        val RETRY_AFTER = 300.milliseconds
        val logger = LoggerFactory.getLogger(OnlineHandler::class.java)
    }
}
