package tanagerlane.pace

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import kotlin.time.Duration.Companion.seconds

/** Replays in virtual time, side by side with the backoff. */
class PaceReplayTest :
    FunSpec({
        val release = (0..11).associateWith { (2 + 2 * it).seconds }
        listOf(
            PaceScene("targets that fail and recover", down = mapOf(0 to 3.seconds, 5 to 9.seconds, 7 to 15.seconds)),
            PaceScene("a rolling release of all targets", down = release, isReplaced = true),
            PaceScene("a failure at a load peak", rate = 120.0, down = mapOf(0 to 5.seconds, 1 to 5.seconds)),
            PaceScene("a failure at little load", rate = 20.0, down = mapOf(0 to 5.seconds, 4 to 9.seconds)),
            PaceScene(
                "six entries that do not receive each other's reports",
                entries = 6,
                rate = 80.0,
                isCut = true,
                down = mapOf(0 to 3.seconds, 5 to 9.seconds, 7 to 15.seconds),
            ),
        ).forEach { scene ->
            // Guards against a recovered target that is overloaded, or is left idle, or costs the others capacity.
            test("at most half as many requests fail at a recovered target: ${scene.name}") {
                val paced = SEEDS.map { PaceSimulation(scene, it).run() }
                val backoff = SEEDS.map { PaceSimulation(scene.copy(pacing = false), it).run() }
                println("${scene.name}: paced ${figures(paced)}, backoff ${figures(backoff)}")
                assertSoftly(figures(paced)) {
                    failedShare shouldBeLessThanOrEqual figures(backoff).failedShare / 2
                    servedShare shouldBeGreaterThanOrEqual figures(backoff).servedShare - 0.01
                    recovering shouldBeGreaterThan 0
                }
            }
        }

        // Guards against one process that reaches no target and makes the others hold all targets back.
        listOf(1, 2).forEach { faulty ->
            test("entries are served beside $faulty whose requests all fail") {
                val scene = PaceScene("faulty entries", faulty = faulty)
                val paced = SEEDS.map { PaceSimulation(scene, it).run() }
                val backoff = SEEDS.map { PaceSimulation(scene.copy(pacing = false), it).run() }
                println("$faulty faulty: paced ${figures(paced)}, backoff ${figures(backoff)}")
                figures(paced).servedShare shouldBeGreaterThanOrEqual figures(backoff).servedShare - 0.01
            }
        }
    }) {
    private companion object {
        val SEEDS = 1..8

        fun figures(runs: List<PaceSimulation>) =
            Figures(
                failedShare = runs.sumOf { it.recoveringFailed }.toDouble() / runs.sumOf { it.recovering },
                servedShare = runs.sumOf { it.succeeded }.toDouble() / runs.sumOf { it.succeeded + it.refused },
                recovering = runs.sumOf { it.recovering },
                sentWhileDown = runs.sumOf { it.sentWhileDown },
            )
    }
}

/** Figures of several runs. */
internal data class Figures(
    val failedShare: Double,
    val servedShare: Double,
    val recovering: Int,
    val sentWhileDown: Int,
)
