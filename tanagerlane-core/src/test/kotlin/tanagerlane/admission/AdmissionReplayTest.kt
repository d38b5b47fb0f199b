package tanagerlane.admission

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Replays in which requests wait, beside the same ones in which they are refused at once, as without the setting. */
class AdmissionReplayTest :
    FunSpec({
        listOf(
            Case(ReplayLoad("steps, 6 entries", entries = 6, rate = { steps(it) * 0.65 }), gain = 0.05),
            Case(ReplayLoad("steps, 23 entries", rate = { steps(it) * 0.65 }), gain = 0.05),
            Case(ReplayLoad("steps, 100 entries", entries = 100, rate = { steps(it) * 0.65 }), gain = 0.06),
            Case(ReplayLoad("high steps", rate = { steps(it) * 0.8 }), gain = 0.12),
            Case(ReplayLoad("hot workspace x4", rate = { hotRate(0.8, 4.0, it) }, hotFactor = { hot(4.0, it) }), 0.0),
            Case(ReplayLoad("hot workspace x7", rate = { hotRate(0.8, 7.0, it) }, hotFactor = { hot(7.0, it) }), 0.06),
            Case(ReplayLoad("loss of a quarter of the targets", rate = { 0.85 }, lostTargets = 9), gain = 0.0),
            Case(ReplayLoad("all places needed", rate = { 1.0 }), gain = -0.02),
            Case(ReplayLoad("twice the capacity", rate = { 2.0 }), gain = 0.07),
        ).forEach { (load, gain) ->
            test("waiting is worth more than a refusal at once, or no less where it can't be: ${load.name}") {
                val refusing = AdmissionSimulation(load, isWaiting = false, seed = 1).run(DURATION)
                val waiting = AdmissionSimulation(load, isWaiting = true, seed = 1).run(DURATION)
                log(load, "refusing at once", refusing)
                log(load, "waiting", waiting)
                assertSoftly {
                    waiting.all.meanValue shouldBeGreaterThanOrEqual refusing.all.meanValue + gain
                    withClue("requests that targets rejected, as a measure of places promised twice") {
                        waiting.rejected shouldBeLessThan refusing.rejected
                    }
                }
            }
        }

        test("at twice the capacity as many requests are served in time as at the capacity") {
            val (full, twice) =
                listOf(1.0, 2.0).map { rate ->
                    AdmissionSimulation(ReplayLoad("flat $rate", rate = { rate }), true, seed = 1).run(DURATION).all
                }
            (twice.inTime + twice.retried).toDouble() shouldBeGreaterThanOrEqual (full.inTime + full.retried) * 0.9
        }

        listOf(4.0, 7.0).forEach { factor ->
            test("a workspace that sends x$factor does not push the others out") {
                val load =
                    ReplayLoad(
                        "hot x$factor",
                        rate = { (7 + factor) / 10 },
                        hotFactor = { factor },
                        priorities = listOf(0),
                    )
                val replay = AdmissionSimulation(load, isWaiting = true, seed = 1).run(DURATION)
                log(load, "waiting", replay)
                val others = replay.byWorkspace.filterKeys { it != "w0" }.values
                assertSoftly {
                    others.forEach { it.servedShare shouldBeGreaterThanOrEqual MINIMUM_SERVED }
                    withClue("floor of the hot workspace") {
                        replay.byWorkspace.getValue("w0").servedShare shouldBeGreaterThan replay.all.servedShare / 4
                    }
                }
            }
        }

        test("each priority is served at least a quarter as often as all are") {
            val replay =
                AdmissionSimulation(ReplayLoad("overload", rate = { 1.6 }), isWaiting = true, seed = 1).run(DURATION)
            assertSoftly {
                replay.byPriority.values.forEach { it.servedShare shouldBeGreaterThan replay.all.servedShare / 4 }
            }
        }
    })

private data class Case(
    val load: ReplayLoad,
    val gain: Double,
)

/** Share of the requests of a workspace below its share of the places that are served in time, at once or at a retry. */
private const val MINIMUM_SERVED = 1.0
private val DURATION = 26.seconds

private fun steps(at: Duration): Double = if ((at / 1.seconds) % 5.2 < 3.0) 0.378 else 1.85

private fun hot(
    factor: Double,
    at: Duration,
): Double = if (at > 5.seconds) factor else 1.0

private fun hotRate(
    base: Double,
    factor: Double,
    at: Duration,
): Double = base * (ReplayLoad.WORKSPACES - 1 + hot(factor, at)) / ReplayLoad.WORKSPACES

private fun log(
    load: ReplayLoad,
    kind: String,
    replay: AdmissionSimulation,
) {
    println("REPLAY ${load.name}, $kind: rejected=${replay.rejected} ${replay.all}")
    println("REPLAY   by priority: ${replay.byPriority.toSortedMap().mapValues { "%.3f".format(it.value.meanValue) }}")
    println(
        "REPLAY   by workspace: ${replay.byWorkspace.toSortedMap().mapValues { "%.3f".format(it.value.meanValue) }}",
    )
}
