package tanagerlane.direct

import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.places.DirectTarget
import tanagerlane.places.LoadBalancer
import tanagerlane.quarantine.LossStage
import tanagerlane.serving.AttemptEnd
import tanagerlane.serving.RouteKind
import tanagerlane.streams.AnswerLimits
import tanagerlane.streams.EventAssembler
import tanagerlane.streams.ResumptionCheck
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Forwards the answers of targets to callers.
 *
 * @param processorDelay how long work waits for the processor of this process
 */
internal class AnswerForwarder(
    private val loadBalancer: LoadBalancer,
    private val names: HeaderNames,
    private val promptGuard: PromptGuard,
    private val resumption: StreamResumption,
    private val metrics: DirectMetrics,
    private val now: () -> Instant,
    private val processorDelay: () -> Duration,
) {
    /**
     * Forwards [answer], which [target] gives to [request].
     *
     * @param leaves whether the target is to be left if it is silent; see [SilenceWatch]
     * @return the outcome of the attempt, or null if the request has its final answer
     */
    suspend fun forward(
        request: OnlineRequest,
        target: DirectTarget,
        answer: TargetAnswer,
        leaves: () -> Boolean,
    ): AttemptEnd? {
        val isStream = answer.status in SUCCESS && request.route.kind == RouteKind.STREAM
        return when {
            answer.isNotRun(names) -> handleNotRun(target, answer)
            isStream -> forwardStream(request, target, answer, leaves)
            else -> forwardWhole(request, target, answer)
        }
    }

    private fun handleNotRun(
        target: DirectTarget,
        answer: TargetAnswer,
    ): AttemptEnd {
        if (answer.isMisdirected) {
            loadBalancer.failed(target.name, now())
        } else {
            loadBalancer.pace { rejected(target.name, now()) }
        }
        return AttemptEnd.NOT_RUN
    }

    private suspend fun forwardWhole(
        request: OnlineRequest,
        target: DirectTarget,
        answer: TargetAnswer,
    ): AttemptEnd? {
        val content = withTimeoutOrNull(request.deadline - now()) { contentOf(request, target, answer) }
        if (content == null) {
            loadBalancer.failed(target.name, now())
            return AttemptEnd.LOST
        }
        val isFailure = answer.status >= FIRST_SERVER_ERROR
        if (isFailure) {
            loadBalancer.failed(target.name, now())
        } else {
            recordAnswered(target, answer)
            loadBalancer.succeeded(target.name)
            promptGuard.completed(request)
        }
        if (answer.status in SUCCESS) {
            promptGuard.answered(request.sharedParts)
        }
        val wholeAnswer = WholeAnswer(target.name, answer.status, answer.headers.endToEndHeaders(), content)
        if (isFailure && request.route.isRepeatable && request.possibleRuns + 1 < request.route.attempts) {
            request.error = wholeAnswer.takeIf { content.length() <= MAXIMUM_KEPT_ERROR_BYTES }
            return AttemptEnd.FAILED
        }
        if (request.isAnswerStarted) {
            return AttemptEnd.LOST
        }
        answer(request, wholeAnswer)
        return null
    }

    /** Sends the complete answer [answer] to the caller of [request]. */
    fun answer(
        request: OnlineRequest,
        answer: WholeAnswer,
    ) {
        request.exchange.answer(answer.status, answer.headers, answer.content)
        metrics.answered(request.route.kind, now() - request.exchange.arrivedAt)
        logger.info(
            "request answered request={} target={} status={} age={}",
            request.id,
            answer.target,
            answer.status,
            now() - request.exchange.arrivedAt,
        )
    }

    /** Returns the complete body, or null if it broke off or exceeds [AnswerLimits.MAXIMUM_ANSWER_BYTES]. */
    private suspend fun contentOf(
        request: OnlineRequest,
        target: DirectTarget,
        answer: TargetAnswer,
    ): Buffer? {
        val content = Buffer.buffer()
        while (true) {
            val piece = answer.pieces.receiveCatching()
            piece.exceptionOrNull()?.let {
                recordLost(request, target, answer, hasContent = content.length() > 0)
                logger.info("body broke off bytes={} cause={}", content.length(), it.toString())
                return null
            }
            content.appendBuffer(piece.getOrNull() ?: return content)
            yieldProcessor(content.length())
            if (content.length() > AnswerLimits.MAXIMUM_ANSWER_BYTES) {
                logger.info(
                    "body exceeds the limit bytes={} most={}",
                    content.length(),
                    AnswerLimits.MAXIMUM_ANSWER_BYTES,
                )
                return null
            }
        }
    }

    private fun recordLost(
        request: OnlineRequest,
        target: DirectTarget,
        answer: TargetAnswer,
        hasContent: Boolean,
    ) {
        val stage = if (hasContent) LossStage.STREAMING else LossStage.BEGUN
        promptGuard.lost(target, request, stage, sentAt = now() - answer.timeSinceSent)
    }

    private fun recordAnswered(
        target: DirectTarget,
        answer: TargetAnswer,
    ): Unit = loadBalancer.pace { answered(target.name, answer.timeSinceSent, now()) }

    private suspend fun forwardStream(
        request: OnlineRequest,
        target: DirectTarget,
        answer: TargetAnswer,
        leaves: () -> Boolean,
    ): AttemptEnd? {
        val assembler = EventAssembler()
        val resumption = if (request.isAnswerStarted) ResumptionCheck(request.lastEvent) else null
        val watch =
            SilenceWatch(SilenceLimits.forStream(request.route, request.possibleRuns), request.deadline, now, leaves)
        var hasEvents = false
        var receivedBytes = 0
        while (true) {
            val piece =
                answer.pieces.tryReceive().takeIf { it.isSuccess }
                    ?: watch.next(answer.pieces)
                    ?: return recordBroken(request, target, "event incomplete, waited ${watch.silence} for bytes")
            piece.exceptionOrNull()?.let {
                recordLost(request, target, answer, hasContent = hasEvents)
                return recordBroken(request, target, it.toString())
            }
            val bytes = piece.getOrNull() ?: break
            val bufferedBefore = assembler.bufferedBytes
            val events = assembler.accept(bytes.bytes)
            answer.forget(bytes.length() - (assembler.bufferedBytes - bufferedBefore))
            if (!hasEvents && events.isNotEmpty()) {
                hasEvents = true
                recordAnswered(target, answer)
                promptGuard.answered(request.sharedParts)
            }
            for (event in events) {
                if (resumption?.accepts(event) == false) {
                    return recordBroken(request, target, "event ${event.id} does not follow ${request.lastEvent}")
                }
                begin(request, target, answer)
                request.lastEvent = event.id ?: request.lastEvent
                request.exchange.write(Buffer.buffer(event.bytes.toByteArray()))
            }
            if (assembler.isOverlong) {
                return recordBroken(request, target, "event exceeds ${AnswerLimits.MAXIMUM_EVENT_BYTES} bytes")
            }
            watch.update(assembler.isInsideEvent, events.isNotEmpty())
            receivedBytes = (receivedBytes + bytes.length()).coerceAtMost(LONG_ANSWER_BYTES + 1)
            yieldProcessor(receivedBytes)
            if (request.exchange.isWriteQueueFull) {
                withTimeoutOrNull(request.deadline - now()) { request.exchange.awaitWritable() }
                    ?: return recordUnread(request, target)
            }
        }
        if (assembler.isInsideEvent) {
            return recordBroken(request, target, "stream ended inside an event")
        }
        if (resumption?.hasContinued == false) {
            return recordBroken(request, target, "resumed stream has no events")
        }
        begin(request, target, answer)
        request.exchange.end()
        loadBalancer.succeeded(target.name)
        promptGuard.completed(request)
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

    /** Sends the head of the answer unless one was sent; a stream resumed at another target keeps the first head. */
    private fun begin(
        request: OnlineRequest,
        target: DirectTarget,
        answer: TargetAnswer,
    ) {
        if (!request.isAnswerStarted) {
            resumption.began(request, target)
            request.exchange.begin(answer.status, answer.headers.endToEndHeaders())
        }
    }

    private fun recordBroken(
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
        loadBalancer.failed(target.name, now())
        return AttemptEnd.LOST
    }

    /** Records that the caller has not read the stream in time, which says nothing about the target. */
    private fun recordUnread(
        request: OnlineRequest,
        target: DirectTarget,
    ): AttemptEnd {
        logger.info(
            "stream not read request={} target={} last_event={} age={}",
            request.id,
            target.name,
            request.lastEvent,
            now() - request.exchange.arrivedAt,
        )
        return AttemptEnd.LOST
    }

    /** Lets other requests go first while the processor is short, once an answer is [receivedBytes] long. */
    private suspend fun yieldProcessor(receivedBytes: Int) {
        val wait = processorDelay()
        if (receivedBytes > LONG_ANSWER_BYTES && wait > TOLERATED_PROCESSOR_DELAY) {
            delay(minOf(wait, MAXIMUM_YIELD))
        }
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
        val SUCCESS = 200..299

        /** Size up to which an answer with an error is kept while another target is tried. */
        const val MAXIMUM_KEPT_ERROR_BYTES = 64 shl 10

        /** Size of an answer from which on it yields to other requests. */
        const val LONG_ANSWER_BYTES = 64 shl 10
        val TOLERATED_PROCESSOR_DELAY = 20.milliseconds
        val MAXIMUM_YIELD = 200.milliseconds
        val logger = LoggerFactory.getLogger(AnswerForwarder::class.java)
    }
}
