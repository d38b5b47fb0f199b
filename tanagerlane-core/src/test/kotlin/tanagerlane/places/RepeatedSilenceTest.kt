package tanagerlane.places

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.TargetName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against silent targets that are held back for longer the more requests find the same silence. */
class RepeatedSilenceTest :
    FunSpec({
        data class SilenceCase(
            val name: String,
            val foundAt: List<Duration>,
            val heldUntil: Duration,
        )
        listOf(
            SilenceCase("one request", listOf(Duration.ZERO), heldUntil = 200.milliseconds),
            SilenceCase("five requests at once", List(5) { Duration.ZERO }, heldUntil = 200.milliseconds),
            SilenceCase(
                "five requests within the backoff",
                List(5) { 49.milliseconds * it },
                heldUntil = 200.milliseconds,
            ),
            SilenceCase(
                "requests before and after the backoff",
                listOf(Duration.ZERO, 100.milliseconds, 200.milliseconds, 300.milliseconds),
                heldUntil = 600.milliseconds,
            ),
        ).forEach { case ->
            test("a target that ${case.name} found silent is held back once for each backoff") {
                val backoff = FailureBackoff(initial = 200.milliseconds, maximum = 4.seconds)
                val silent = target("x")
                case.foundAt.forEach { backoff.foundSilent(silent.name, start + it) }

                fun decisionAfter(time: Duration) = backoff.admission(silent, NO_LOADS, start + time)
                decisionAfter(case.heldUntil - 1.milliseconds) shouldBe PaceDecision.HELD
                decisionAfter(case.heldUntil) shouldBe PaceDecision.ADMITTED
            }
        }
    }) {
    private companion object {
        val NO_LOADS =
            object : TargetLoads {
                override fun ofAll(
                    target: TargetName,
                    now: Instant,
                ) = TargetLoad(online = 0, batch = 0)

                override fun own(target: TargetName) = 0
            }
    }
}
