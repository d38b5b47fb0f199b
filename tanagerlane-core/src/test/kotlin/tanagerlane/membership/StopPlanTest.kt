package tanagerlane.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class StopPlanTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000)

        fun plan(
            noticePeriod: Duration = 2500.milliseconds,
            gracePeriod: Duration = 8.seconds,
        ) = StopPlan(
            requestedAt = start,
            noticePeriod = noticePeriod,
            gracePeriod = gracePeriod,
            reserve = 800.milliseconds,
        )

        data class Case(
            val name: String,
            val plan: StopPlan,
            val after: Duration,
            val hasOpenWork: Boolean,
            val acceptsRequests: Boolean,
            val isOver: Boolean,
        )
        listOf(
            Case("takes requests during the notice", plan(), 2499.milliseconds, false, true, false),
            Case("ends after the notice where nothing is open", plan(), 2500.milliseconds, false, false, true),
            Case("waits for open work after the notice", plan(), 2500.milliseconds, true, false, false),
            Case("waits for open work up to the reserve", plan(), 7199.milliseconds, true, false, false),
            Case("ends at the reserve with open work", plan(), 7200.milliseconds, true, false, true),
            Case("without a notice takes nothing", plan(noticePeriod = 0.seconds), 0.seconds, true, false, false),
            Case(
                "shortens the notice to half of a short time",
                plan(gracePeriod = 4.seconds),
                1600.milliseconds,
                true,
                false,
                false,
            ),
            Case(
                "takes requests in half of a short time",
                plan(gracePeriod = 4.seconds),
                1599.milliseconds,
                true,
                true,
                false,
            ),
        ).forEach { case ->
            test("a stopping process ${case.name}") {
                case.plan.acceptsRequests(start + case.after) shouldBe case.acceptsRequests
                case.plan.isOver(start + case.after, case.hasOpenWork) shouldBe case.isOver
            }
        }

        test("a stop ends under requests that never leave a gap, and none of them is open then") {
            val answerTime = 900.milliseconds
            val sent = generateSequence(0.milliseconds) { it + 100.milliseconds }.takeWhile { it <= 8.seconds }.toList()
            val taken = sent.filter { plan().acceptsRequests(start + it) }
            val answered = taken.map { it + answerTime }
            val end =
                generateSequence(start) { it + 20.milliseconds }.first { now ->
                    plan().isOver(now, hasOpenWork = taken.any { start + it <= now && now < start + it + answerTime })
                }
            taken.last() shouldBe 2400.milliseconds
            end shouldBe start + answered.last()
        }
    })
