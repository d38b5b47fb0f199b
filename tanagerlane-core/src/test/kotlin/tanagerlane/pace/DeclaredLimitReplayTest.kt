package tanagerlane.pace

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import kotlin.time.Duration.Companion.seconds

/** A target that turns cold is never sent more than its bound in a second, by all processes together. */
class DeclaredLimitReplayTest :
    FunSpec({
        val cold = (0..3).associateWith { (3 + 4 * it).seconds }
        val all =
            PaceScene("a load peak", coldRate = 23.0, runners = 12, targets = 34, rate = 330.0, coldAt = cold)
        listOf(
            all,
            all.copy(name = "without the adaptive limit", pacing = false),
            all.copy(name = "processes that don't receive each other's reports", isCut = true, pacing = false),
            all.copy(name = "twice the load", rate = 700.0, isCut = true),
            all.copy(name = "few targets at a peak", targets = 4, rate = 80.0, isCut = true),
            all.copy(name = "restarts of processes", restarts = List(40) { (it * 0.5).seconds }, isCut = true),
            all.copy(name = "a release", down = cold, isReplaced = true),
        ).forEach { scene ->
            // Guards against a herd of processes that each keep to a rate of their own.
            test("a cold target is sent at most 39 requests in a second: ${scene.name}") {
                for (seed in 1..3) {
                    val run = PaceSimulation(scene, seed).run()
                    println("${scene.name}: most ${run.mostWhileCold}, sent ${run.sent}, refused ${run.refused}")
                    run.mostWhileCold shouldBeLessThanOrEqual 39
                    run.mostWhileCold shouldBeGreaterThan 0
                }
            }
        }

        // Guards against a limit that slows targets that are sound.
        data class SoundCase(
            val targets: Int,
            val rate: Double,
            val refusedShare: Double,
        )
        listOf(
            SoundCase(targets = 34, rate = 250.0, refusedShare = 0.001),
            SoundCase(targets = 12, rate = 80.0, refusedShare = 0.001),
            // The share of an entry is six requests in a second, which chance exceeds now and then.
            SoundCase(targets = 4, rate = 26.0, refusedShare = 0.02),
        ).forEach { (targets, rate, refusedShare) ->
            test("traffic to $targets sound targets is not slowed by a declared rate") {
                val scene = all.copy(targets = targets, rate = rate, runners = 0, coldAt = emptyMap())
                val limited = PaceSimulation(scene, 1).run()
                val free = PaceSimulation(scene.copy(coldRate = null), 1).run()
                println("$targets: refused ${limited.refused} of ${limited.sent}, free ${free.refused} of ${free.sent}")
                (limited.refused - free.refused).toDouble() shouldBeLessThanOrEqual limited.sent * refusedShare
            }
        }
    })
