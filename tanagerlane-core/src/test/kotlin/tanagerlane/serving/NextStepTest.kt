package tanagerlane.serving

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class NextStepTest :
    FunSpec({
        val resumable = route()
        val notResumable = route(resumable = false, attempts = 1)
        val safe = route(kind = RouteKind.SAFE)
        val unsafe = route(kind = RouteKind.UNSAFE, resumable = false)
        val outcomeUnknown = NextStep.GiveUp(RefusalReason.OUTCOME_UNKNOWN, RunState.UNKNOWN)
        val deadlineExceeded = NextStep.GiveUp(RefusalReason.DEADLINE_EXCEEDED, RunState.UNKNOWN)
        val notRun = NextStep.GiveUp(RefusalReason.OVERLOADED, RunState.NOT_RUN)

        data class StepCase(
            val name: String,
            val end: AttemptEnd,
            val route: ServingRoute,
            val handed: Int,
            val refusals: Int = 0,
            val remaining: Duration = 2.seconds,
            val expected: NextStep,
        )
        listOf(
            StepCase(
                "refused by its first target",
                AttemptEnd.NOT_RUN,
                notResumable,
                0,
                1,
                expected = NextStep.TryElsewhere,
            ),
            StepCase("refused by many targets", AttemptEnd.NOT_RUN, notResumable, 0, 4, expected = notRun),
            StepCase("refused with no time left", AttemptEnd.NOT_RUN, safe, 0, 1, 5.milliseconds, expected = notRun),
            StepCase(
                "refused after an earlier attempt may have run",
                AttemptEnd.NOT_RUN,
                unsafe,
                1,
                1,
                expected = outcomeUnknown,
            ),
            StepCase(
                "refused after a resumable stream broke",
                AttemptEnd.NOT_RUN,
                resumable,
                1,
                1,
                expected = NextStep.TryElsewhere,
            ),
            StepCase("lost on a repeatable route", AttemptEnd.LOST, safe, 1, expected = NextStep.TryElsewhere),
            StepCase(
                "lost on a resumable stream",
                AttemptEnd.LOST,
                resumable,
                1,
                expected = NextStep.TryElsewhere,
            ),
            StepCase("lost at the last allowed target", AttemptEnd.LOST, resumable, 2, expected = outcomeUnknown),
            StepCase("lost on a route that is not repeatable", AttemptEnd.LOST, unsafe, 1, expected = outcomeUnknown),
            StepCase(
                "lost on a stream that is not resumable",
                AttemptEnd.LOST,
                notResumable,
                1,
                expected = outcomeUnknown,
            ),
            StepCase(
                "lost with no time left",
                AttemptEnd.LOST,
                safe,
                1,
                remaining = 5.milliseconds,
                expected = deadlineExceeded,
            ),
            StepCase("failed on a repeatable route", AttemptEnd.FAILED, safe, 1, expected = NextStep.TryElsewhere),
            StepCase("failed at the last allowed target", AttemptEnd.FAILED, safe, 2, expected = NextStep.ForwardError),
            StepCase(
                "failed on a route that is not repeatable",
                AttemptEnd.FAILED,
                unsafe,
                1,
                expected = NextStep.ForwardError,
            ),
        ).forEach { case ->
            test(case.name) {
                NextStep.after(case.end, case.route, case.handed, case.refusals, case.remaining) shouldBe case.expected
            }
        }
    })
