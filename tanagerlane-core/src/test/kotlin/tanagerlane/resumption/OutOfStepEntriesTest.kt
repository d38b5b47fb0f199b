package tanagerlane.resumption

import io.kotest.assertions.assertSoftly
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against groups of processes that vouch for each other with views of the same age; more seeds as elsewhere. */
class OutOfStepEntriesTest :
    FunSpec({
        val sizes =
            listOf(
                ResumptionTroubles("5 entries", kill = Kill.SOME_ENTRIES, killPause = KILL_PAUSE, length = LENGTH),
                ResumptionTroubles(
                    "33 entries",
                    entries = 33,
                    streamsPerSecond = 100,
                    kill = Kill.SOME_ENTRIES,
                    killPause = KILL_PAUSE,
                    length = LENGTH,
                ),
            )
        for (size in sizes + sizes.map { it.copy("${it.name}, addresses kept", areAddressesKept = true) }) {
            for (group in GroupTrouble.entries) {
                val troubles = size.copy("${size.name}, ${group.name.lowercase().replace('_', ' ')}", group = group)
                test("streams go on only at the version that began them: ${troubles.name}") {
                    val total = ResumptionOutcome()
                    (1..SEEDS).forEach { total += ResumptionSimulation(troubles, it).run() }
                    println("${troubles.name}: $total")
                    total.joined.forEach { println("joined: $it") }
                    assertSoftly {
                        total.joined.shouldBeEmpty()
                        total.takeUps shouldBeGreaterThan MINIMUM_TAKE_UPS
                        total.inStepShare shouldBeGreaterThanOrEqual MINIMUM_CONTINUED_SHARE
                    }
                }
            }
        }
    }) {
    private companion object {
        val SEEDS: Int = Integer.getInteger("resumption.seeds", 5)
        val KILL_PAUSE = 1500.milliseconds
        val LENGTH = 80.seconds
        const val MINIMUM_TAKE_UPS = 50

        /** Share of take-ups at entries in step that go on where that is possible, relative to new streams. */
        const val MINIMUM_CONTINUED_SHARE = 0.5
    }
}
