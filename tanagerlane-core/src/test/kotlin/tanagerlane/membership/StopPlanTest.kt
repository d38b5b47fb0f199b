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
            Case("accepts requests during the notice period", plan(), 2499.milliseconds, false, true, false),
            Case("exits after the notice period if no work is open", plan(), 2500.milliseconds, false, false, true),
            Case("waits for open work after the notice period", plan(), 2500.milliseconds, true, false, false),
            Case("waits for open work until the reserve begins", plan(), 7199.milliseconds, true, false, false),
            Case("exits when the reserve begins, even with open work", plan(), 7200.milliseconds, true, false, true),
            Case(
                "accepts nothing without a notice period",
                plan(noticePeriod = 0.seconds),
                0.seconds,
                true,
                false,
                false,
            ),
            Case(
                "shortens the notice period to half of a short grace period",
                plan(gracePeriod = 4.seconds),
                1600.milliseconds,
                true,
                false,
                false,
            ),
            Case(
                "accepts requests during half of a short grace period",
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

        test("a process under continuous requests exits, with no request open at that time") {
            val answerTime = 900.milliseconds
            val sent = generateSequence(0.milliseconds) { it + 100.milliseconds }.takeWhile { it <= 8.seconds }.toList()
            val accepted = sent.filter { plan().acceptsRequests(start + it) }
            val answered = accepted.map { it + answerTime }
            val end =
                generateSequence(start) { it + 20.milliseconds }.first { now ->
                    plan().isOver(
                        now,
                        hasOpenWork = accepted.any { start + it <= now && now < start + it + answerTime },
                    )
                }
            accepted.last() shouldBe 2400.milliseconds
            end shouldBe start + answered.last()
        }
    })
