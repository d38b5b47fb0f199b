package tanagerlane.sidecar

import tanagerlane.idempotency.Claim
import tanagerlane.idempotency.ClaimDecision
import tanagerlane.idempotency.ClaimKey
import tanagerlane.idempotency.DeduplicationTable
import tanagerlane.idempotency.StoredAnswer
import tanagerlane.message.Offer
import tanagerlane.message.Repeat
import tanagerlane.model.Incarnation
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import tanagerlane.model.TargetName
import kotlin.time.Instant

/**
 * Runs requests that clients may send again; repeats with the same idempotency key share one run.
 *
 * @param runWork runs the work of an offer and reports to the sink
 */
internal class DeduplicatingRunner(
    private val owner: TargetName,
    private val incarnation: Incarnation,
    private val claimCoordinator: ClaimCoordinator,
    private val runWork: suspend (Offer, AnswerSink) -> Unit,
    private val now: () -> Instant,
) {
    private val deduplicationTable = DeduplicationTable(MAXIMUM_SHARED_ANSWERS)
    private val lock = Any()
    private val sharedAnswers = LinkedHashMap<RequestId, SharedAnswer>()

    /** Runs the work of [offer], or forwards the answer of the request that it repeats. */
    suspend fun run(
        offer: Offer,
        sink: AnswerSink,
    ) {
        val repeat = offer.repeat
        val workspace = offer.workspace
        if (repeat == null || workspace == null) {
            runWork(offer, sink)
            return
        }
        val key = ClaimKey(workspace, repeat.key)
        val shared = createSharedAnswer(offer.attempt.request)
        when (val decision = decide(offer, key, repeat)) {
            is ClaimDecision.Granted -> runShared(offer, key, shared, sink)
            is ClaimDecision.Joined -> join(decision.running, sink)
            is ClaimDecision.Answered -> answer(decision.answer, sink)
            is ClaimDecision.Refused -> sink.fail(decision.runState, decision.reason)
        }
    }

    private suspend fun decide(
        offer: Offer,
        key: ClaimKey,
        repeat: Repeat,
    ): ClaimDecision {
        if (offer.idempotent) {
            return deduplicationTable.register(key, offer.attempt.request, repeat.digest)
        }
        val claim =
            Claim(
                key = key,
                request = offer.attempt.request,
                digest = repeat.digest,
                owner = owner,
                incarnation = incarnation,
                claimedAt = now().epochSeconds,
            )
        return claimCoordinator.decide(claim, offer.remaining)
    }

    private suspend fun runShared(
        offer: Offer,
        key: ClaimKey,
        shared: SharedAnswer,
        sink: AnswerSink,
    ) {
        try {
            runWork(offer, shared.recording(sink))
        } finally {
            shared.abandon()
            onRunEnded(offer, key, shared)
        }
    }

    private fun onRunEnded(
        offer: Offer,
        key: ClaimKey,
        shared: SharedAnswer,
    ) {
        val head = shared.head
        when {
            shared.hasFailed && offer.idempotent -> {
                deduplicationTable.forget(key, offer.attempt.request)
            }

            !shared.hasFailed && !offer.idempotent && head != null -> {
                claimCoordinator.recordAnswer(key, StoredAnswer(head.status, head.headers, shared.body))
            }
        }
    }

    private fun createSharedAnswer(request: RequestId): SharedAnswer =
        synchronized(lock) {
            val shared = SharedAnswer()
            sharedAnswers[request] = shared
            if (sharedAnswers.size > MAXIMUM_SHARED_ANSWERS) {
                sharedAnswers.remove(sharedAnswers.keys.first())
            }
            shared
        }

    private suspend fun join(
        running: RequestId,
        sink: AnswerSink,
    ) {
        val shared = synchronized(lock) { sharedAnswers[running] }
        if (shared == null) {
            sink.fail(RunState.UNKNOWN, RefusalReason.OUTCOME_UNKNOWN)
        } else if (sink.begin()) {
            shared.replayTo(sink)
        }
    }

    private suspend fun answer(
        answer: StoredAnswer,
        sink: AnswerSink,
    ) {
        if (sink.begin()) {
            sink.head(answer.status, answer.headers)
            sink.bytes(answer.body)
            sink.end()
        }
    }

    private companion object {
        const val MAXIMUM_SHARED_ANSWERS = 1_000
    }
}
