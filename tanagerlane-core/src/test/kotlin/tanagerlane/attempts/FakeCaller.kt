package tanagerlane.attempts

import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import kotlin.time.Instant

/** Records what the caller of [request] received. */
internal class FakeCaller(
    val request: RequestId,
) {
    private val body = StringBuilder()
    private var heads = 0
    private val endings = ArrayList<AttemptAction>()
    private var endedAt: Instant? = null

    fun record(
        action: AttemptAction,
        now: Instant,
    ) {
        when (action) {
            is AttemptAction.DeliverHead -> heads++
            is AttemptAction.DeliverBytes -> body.append(action.bytes.toText())
            else -> endings.add(action).also { endedAt = now }
        }
    }

    /** Returns the guarantees violated for this caller, given the final number of [runs] of its request. */
    fun violations(
        runs: Int,
        idempotent: Boolean,
        mustEndBy: Instant?,
    ): List<Violation> =
        listOfNotNull(
            Violation.RAN_TWICE.takeIf { !idempotent && runs > 1 },
            Violation.FALSE_NOT_RUN.takeIf { refusedNotRun() && runs > 0 },
            Violation.WRONG_ANSWER.takeIf { !isCorrect(runs) },
            Violation.ENDED_TWICE.takeIf { endings.size > 1 },
            Violation.NOT_ENDED_IN_TIME.takeIf { mustEndBy != null && endedAt.let { it == null || it > mustEndBy } },
        )

    /** Whether the caller received the complete answer. */
    fun isAnswered(): Boolean = AttemptAction.Complete in endings

    private fun refusedNotRun() = endings.any { it is AttemptAction.Refuse && it.runState == RunState.NOT_RUN }

    private fun isCorrect(runs: Int): Boolean {
        val answers = (1..runs).map { FakeSidecar.pieces(request, it).joinToString("") }
        val refused = endings.any { it is AttemptAction.Refuse }
        return when {
            isAnswered() -> heads == 1 && body.toString() in answers
            refused -> heads == 0 && body.isEmpty()
            else -> body.isEmpty() || answers.any { it.startsWith(body) }
        }
    }
}

/** A violated guarantee to a caller. */
internal enum class Violation { RAN_TWICE, FALSE_NOT_RUN, WRONG_ANSWER, ENDED_TWICE, NOT_ENDED_IN_TIME }
