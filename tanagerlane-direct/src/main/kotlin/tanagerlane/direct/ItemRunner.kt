package tanagerlane.direct

import com.github.michaelbull.result.getOrElse
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.joblog.JobRecord
import tanagerlane.places.DirectTarget
import tanagerlane.runtime.MonotonicClock
import tanagerlane.streams.AnswerLimits
import tanagerlane.streams.EventAssembler
import tanagerlane.streams.PartialEventTimer
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Runs items of jobs at targets, going on where an earlier run stopped. */
internal class ItemRunner(
    private val client: TargetClient,
    private val headers: RequestHeaders,
    private val names: HeaderNames,
    private val now: () -> Instant = MonotonicClock()::now,
) {
    /** Runs an item at [target] and adds to [progress] what comes; cancellation stops the run at the target. */
    suspend fun run(
        card: JobRecord,
        progress: ItemProgress,
        target: DirectTarget,
    ): ItemEnding {
        val item = progress.item
        val request =
            TargetRequest(
                id = item.id.text,
                method = HttpMethod.POST,
                uri = item.path,
                headers =
                    headers.forItem(
                        id = item.id.text,
                        host = card.routeHost,
                        headers = item.headers,
                        target = target,
                        workspace = card.workspace,
                        resumeAfter = progress.lastEvent,
                    ),
                body = Buffer.buffer(item.body.toByteArray()),
            )
        val answer =
            client.call(target, request, HEAD_PATIENCE).getOrElse { fault ->
                logger.info("item call failed item={} target={} fault={}", item.id, target.name, fault)
                return if (fault is CallFault.NotSent) ItemEnding.NOT_RUN else ItemEnding.BROKEN
            }
        try {
            return endingOf(answer, progress)
        } finally {
            answer.close()
        }
    }

    private suspend fun endingOf(
        answer: TargetAnswer,
        progress: ItemProgress,
    ): ItemEnding =
        when {
            answer.isNotRun(names) -> notRun(answer, progress)
            answer.status == IMPOSSIBLE -> ItemEnding.IMPOSSIBLE
            answer.status in SUCCESS -> collect(answer, progress)
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
    ): ItemEnding {
        val assembler = EventAssembler()
        val begun = PartialEventTimer(LONGEST_EVENT)
        while (true) {
            val patience = minOf(LONGEST_SILENCE, begun.timeLeft(now()))
            val piece = withTimeoutOrNull(patience) { answer.pieces.receiveCatching() }
            if (piece == null || piece.exceptionOrNull() != null) {
                return broken(progress, piece?.exceptionOrNull()?.toString() ?: "no whole event, waited $patience")
            }
            val bytes = piece.getOrNull() ?: break
            val events = assembler.accept(bytes.bytes)
            if (!events.all(progress::add)) {
                logger.info("item too long item={} events={}", progress.item.id, progress.events)
                return ItemEnding.FAILED
            }
            if (assembler.isOverlong) {
                return broken(progress, "event over ${AnswerLimits.MAXIMUM_EVENT_BYTES} bytes")
            }
            begun.update(assembler.isInsideEvent, events.isNotEmpty(), now())
        }
        val isWhole = answer.hasLength && !assembler.isInsideEvent
        return if (isWhole) ItemEnding.WHOLE else ItemEnding.BROKEN
    }

    private fun broken(
        progress: ItemProgress,
        cause: String,
    ): ItemEnding {
        logger.info("item broke off item={} last_event={} cause={}", progress.item.id, progress.lastEvent, cause)
        return ItemEnding.BROKEN
    }

    private companion object {
        const val IMPOSSIBLE = 422
        val SUCCESS = 200..299
        val HEAD_PATIENCE = 3.seconds
        val LONGEST_SILENCE = 1.seconds

        /** Time for the whole of one event once it has begun. */
        val LONGEST_EVENT = 5.seconds
        val logger = LoggerFactory.getLogger(ItemRunner::class.java)
    }
}
