package tanagerlane.sidecar

import tanagerlane.jobs.ItemOutcome
import tanagerlane.jobs.ItemRun
import tanagerlane.message.ChatWork
import tanagerlane.message.Offer
import tanagerlane.model.AttemptId
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestClass
import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/**
 * Runs items of batch jobs on the target.
 *
 * @param run calls the target for one attempt and reports to the sink
 * @param maximumTokens maximum number of tokens that one request of a model may generate
 */
internal class ItemRunner(
    private val run: suspend (Offer, AnswerSink) -> Unit,
    private val maximumTokens: (ItemRun) -> Int,
) {
    /** Runs [item] until its answer is complete or it has failed. */
    suspend fun run(item: ItemRun): ItemOutcome {
        val answer = CollectedAnswer()
        run(offerOf(item), answer.sink())
        return answer.outcome
    }

    private fun offerOf(item: ItemRun): Offer =
        Offer(
            attempt = AttemptId(requestIdOf(item), item.attempt),
            workspace = item.workspace,
            requestClass = RequestClass.BATCH,
            idempotent = true,
            remaining = Duration.INFINITE,
            work =
                ChatWork(
                    model = item.model,
                    body = item.item.body,
                    streamed = false,
                    maximumTokens = maximumTokens(item),
                ),
            expectedIncarnation = null,
        )

    private fun requestIdOf(item: ItemRun) = RequestId("${item.workspace}.${item.job}.${item.item.line}")

    private class CollectedAnswer {
        var outcome: ItemOutcome = ItemOutcome.Failed(RefusalReason.TARGET_FAILED)
            private set

        private var status = 0
        private val body = ByteArrayOutputStream()

        fun sink(): AnswerSink =
            AnswerSink(
                begin = { true },
                head = { code, _ -> status = code },
                bytes = { body.writeBytes(it.toByteArray()) },
                end = { outcome = answeredOutcome() },
                fail = { runState, reason -> outcome = failedOutcome(runState, reason) },
            )

        private fun answeredOutcome(): ItemOutcome =
            if (status in SUCCESS) {
                ItemOutcome.Answered(status, Payload.of(body.toByteArray()))
            } else {
                ItemOutcome.Failed(RefusalReason.TARGET_FAILED)
            }

        private fun failedOutcome(
            runState: RunState,
            reason: RefusalReason,
        ): ItemOutcome = if (runState == RunState.NOT_RUN) ItemOutcome.NotRun else ItemOutcome.Failed(reason)
    }

    private companion object {
        val SUCCESS = 200..299
    }
}
