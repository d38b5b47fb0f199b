package tanagerlane.limits

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlin.time.Duration.Companion.seconds

class FleetLimiterPropertyTest :
    FunSpec({
        test("no window holds more than its rate and burst, whatever fails") {
            for (seed in 1..60) {
                val fleet = FakeFleet(seed, faults = 0.4)
                fleet.run(length = 150.seconds, load = 90.0, weights = listOf(3, 2, 1))
                withClue("seed $seed, ${fleet.bound.arrived} arrived, ${fleet.refusals.size} refused") {
                    fleet.bound.worstOverrun() shouldBeLessThan 1e-6
                    fleet.bound.arrived shouldBeGreaterThan 100
                }
            }
        }

        for (weights in listOf(listOf(1, 0, 0), listOf(3, 2, 1), listOf(1, 1, 1))) {
            test("a load below the rate is hardly ever refused when it arrives as $weights") {
                val fleet = FakeFleet(seed = 7, faults = 0.0)
                fleet.run(length = 60.seconds, load = 18.0, weights = weights)
                withClue("${fleet.bound.arrived} arrived") {
                    fleet.refusals.filter { it > 5.seconds }.shouldBeEmpty()
                }
            }
        }
    })
