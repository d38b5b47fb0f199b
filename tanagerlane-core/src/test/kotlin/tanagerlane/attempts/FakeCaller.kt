package tanagerlane.attempts

import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import kotlin.time.Instant

/** Records what the caller of [request] heard. */
internal class FakeCaller(
    val request: RequestId,
) {
    private val body = StringBuilder()
    private var heads = 0
    private val endings = ArrayList<AttemptAction>()
    private var endedAt: Instant? = null

    fun hear(
        action: AttemptAction,
        now: Instant,
    ) {
        when (action) {
            is AttemptAction.DeliverHead -> heads++
            is AttemptAction.DeliverBytes -> body.append(action.bytes.toText())
            else -> endings.add(action).also { endedAt = now }
        }
    }

    /** What broke a promise to this caller, given the [runs] of its request in the end. */
    fun violations(
        runs: Int,
        idempotent: Boolean,
        mustHearBy: Instant?,
    ): List<Violation> =
        listOfNotNull(
            Violation.RAN_TWICE.takeIf { !idempotent && runs > 1 },
            Violation.FALSE_NOT_RUN.takeIf { refusedNotRun() && runs > 0 },
            Violation.WRONG_ANSWER.takeIf { !isWhole(runs) },
            Violation.HEARD_TWICE.takeIf { endings.size > 1 },
            Violation.HEARD_NOTHING.takeIf { mustHearBy != null && endedAt.let { it == null || it > mustHearBy } },
        )

    /** Whether the caller has its whole answer. */
    fun isAnswered(): Boolean = AttemptAction.Complete in endings

    private fun refusedNotRun() = endings.any { it is AttemptAction.Refuse && it.runState == RunState.NOT_RUN }

    private fun isWhole(runs: Int): Boolean {
        val answers = (1..runs).map { FakeSidecar.pieces(request, it).joinToString("") }
        val refused = endings.any { it is AttemptAction.Refuse }
        return when {
            isAnswered() -> heads == 1 && body.toString() in answers
            refused -> heads == 0 && body.isEmpty()
            else -> body.isEmpty() || answers.any { it.startsWith(body) }
        }
    }
}

/** A promise that was broken. */
internal enum class Violation { RAN_TWICE, FALSE_NOT_RUN, WRONG_ANSWER, HEARD_TWICE, HEARD_NOTHING }
