package tanagerlane.direct

import com.github.michaelbull.result.getOrElse
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import org.slf4j.LoggerFactory
import tanagerlane.joblog.JobRecord
import tanagerlane.joblog.RawItem
import tanagerlane.places.DirectTarget
import tanagerlane.runtime.MonotonicClock
import tanagerlane.streams.AnswerLimits
import tanagerlane.streams.EventAssembler
import tanagerlane.streams.ResumptionCheck
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Runs items of jobs at targets; a run resumes after the last event that an earlier run received.
 *
 * @param onAnswered called when a target has written the first event of a run, with the time since the run began
 * @param onLost called when the connection of a run ended before its first event, with whether the target had begun to
 *   answer
 */
internal class ItemRunner(
    private val client: TargetClient,
    private val headers: RequestHeaders,
    private val headerNames: HeaderNames,
    private val onAnswered: (RawItem, DirectTarget, latency: Duration) -> Unit = { _, _, _ -> },
    private val onLost: (RawItem, DirectTarget, hasBegun: Boolean) -> Unit = { _, _, _ -> },
    private val now: () -> Instant = MonotonicClock()::now,
) {
    /**
     * Runs an item at [target] and adds the received events to [progress].
     *
     * Cancellation also stops the run at the target.
     *
     * @param hasPlaceElsewhere whether another target has a place for the item, so that it may leave a silent one
     */
    suspend fun run(
        job: JobRecord,
        progress: ItemProgress,
        target: DirectTarget,
        hasPlaceElsewhere: () -> Boolean = { true },
    ): ItemEnding {
        val item = progress.item
        progress.runStarts(target.version)
        val request =
            TargetRequest(
                id = item.id.text,
                method = HttpMethod.POST,
                uri = item.path,
                headers =
                    headers.forItem(
                        id = item.id.text,
                        host = job.routeHost,
                        headers = item.headers,
                        target = target,
                        workspace = job.workspace,
                        resumeAfter = progress.lastEvent,
                    ),
                body = Buffer.buffer(item.body.toByteArray()),
            )
        val answer =
            client.call(target, request, HEAD_TIMEOUT).getOrElse { fault ->
                logger.info("item call failed item={} target={} fault={}", item.id, target.name, fault)
                if (fault is CallFault.Lost) {
                    onLost(item, target, false)
                }
                return if (fault is CallFault.NotSent) ItemEnding.NOT_RUN else ItemEnding.BROKEN
            }
        try {
            return receive(answer, progress, target, hasPlaceElsewhere)
        } finally {
            answer.close()
        }
    }

    private suspend fun receive(
        answer: TargetAnswer,
        progress: ItemProgress,
        target: DirectTarget,
        hasPlaceElsewhere: () -> Boolean,
    ): ItemEnding =
        when {
            answer.isNotRun(headerNames) -> notRun(answer, progress)
            answer.status == UNPROCESSABLE -> ItemEnding.IMPOSSIBLE
            answer.status in SUCCESS -> collect(answer, progress, target, hasPlaceElsewhere)
            else -> ItemEnding.FAILED
        }

    private fun notRun(
        answer: TargetAnswer,
        progress: ItemProgress,
    ): ItemEnding {
        logger.info("item not run item={} status={} last_event={}", progress.item.id, answer.status, progress.lastEvent)
        return ItemEnding.NOT_RUN
    }

    private suspend fun collect(
        answer: TargetAnswer,
        progress: ItemProgress,
        target: DirectTarget,
        hasPlaceElsewhere: () -> Boolean,
    ): ItemEnding {
        val assembler = EventAssembler()
        if (progress.lastEvent == null) {
            progress.clear()
        }
        val resumption = if (progress.eventCount > 0) ResumptionCheck(progress.lastEvent) else null
        var hasEvents = false
        val watch = SilenceWatch(SILENCE_LIMITS, Instant.DISTANT_FUTURE, now, hasPlaceElsewhere)
        while (true) {
            val piece = watch.next(answer.pieces)
            if (piece?.exceptionOrNull() != null && !hasEvents) {
                onLost(progress.item, target, true)
            }
            if (piece == null || piece.exceptionOrNull() != null) {
                return interrupted(
                    progress,
                    piece?.exceptionOrNull()?.toString() ?: "event incomplete, waited ${watch.silence} for bytes",
                )
            }
            val bytes = piece.getOrNull() ?: break
            val bufferedBefore = assembler.bufferedBytes
            val events = assembler.accept(bytes.bytes)
            answer.forget(bytes.length() - (assembler.bufferedBytes - bufferedBefore))
            if (!hasEvents && events.isNotEmpty()) {
                hasEvents = true
                onAnswered(progress.item, target, answer.timeSinceSent)
            }
            for (event in events) {
                if (resumption?.accepts(event) == false) {
                    return interrupted(progress, "event ${event.id} does not follow ${progress.lastEvent}")
                }
                if (!progress.add(event)) {
                    return rejected(progress)
                }
            }
            if (assembler.isOverlong) {
                return interrupted(progress, "event exceeds ${AnswerLimits.MAXIMUM_EVENT_BYTES} bytes")
            }
            watch.update(assembler.isInsideEvent, events.isNotEmpty())
        }
        if (assembler.isInsideEvent) {
            return interrupted(progress, "stream ended inside an event")
        }
        if (!progress.hasContent || resumption?.hasContinued == false) {
            progress.dropNewest()
            return interrupted(progress, "answer has no events")
        }
        return ItemEnding.WHOLE
    }

    /** Ends a run whose answer became too long; a short one was ended on account of others and may be run again. */
    private fun rejected(progress: ItemProgress): ItemEnding {
        logger.info("item answer too long item={} bytes={}", progress.item.id, progress.rejectedBytes)
        val isLong = (progress.rejectedBytes ?: 0) > AnswerLimits.MAXIMUM_EVENT_BYTES
        return if (isLong) ItemEnding.FAILED else ItemEnding.BROKEN
    }

    private fun interrupted(
        progress: ItemProgress,
        cause: String,
    ): ItemEnding {
        logger.info("item interrupted item={} last_event={} cause={}", progress.item.id, progress.lastEvent, cause)
        return ItemEnding.BROKEN
    }

    private companion object {
        /** Status by which a target reports that an item can never be completed. */
        const val UNPROCESSABLE = 422
        val SUCCESS = 200..299

        /** Time within which the head of the answer must be received. */
        val HEAD_TIMEOUT = 3.seconds

        /** A run that breaks off costs the whole prompt of the item once more. */
        val SILENCE_LIMITS =
            SilenceLimits(silence = 1.seconds, event = 5.seconds, maximumSilence = 5.seconds, maximumEvent = 5.seconds)
        val logger = LoggerFactory.getLogger(ItemRunner::class.java)
    }
}
