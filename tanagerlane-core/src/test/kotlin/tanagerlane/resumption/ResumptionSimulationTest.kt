package tanagerlane.resumption

import io.kotest.assertions.assertSoftly
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlin.time.Duration.Companion.seconds

/** Streams that callers take up while versions and processes come and go; more seeds by `-Dresumption.seeds=50`. */
class ResumptionSimulationTest :
    FunSpec({
        val sizes =
            listOf(
                ResumptionTroubles("5 entries"),
                LARGE,
                LARGE.copy("100 entries", entries = 100, streamsPerSecond = 200, length = 30.seconds),
            )
        val kills =
            sizes.flatMap { size ->
                Kill.entries.map { kill ->
                    val name = "${size.name}, kills of ${kill.name.lowercase().replace('_', ' ')}"
                    size.copy(
                        name = name,
                        kill = kill,
                        killPause =
                            if (kill ==
                                Kill.ONE_ENTRY
                            ) {
                                1.seconds
                            } else {
                                6.seconds
                            },
                    )
                }
            }
        val losses =
            listOf(0.0, 0.2).map { LARGE.copy("33 entries, loss $it", kill = Kill.SOME_ENTRIES, lossShare = it) } +
                ResumptionTroubles("5 entries, loss 0.2", kill = Kill.FAILURE_DOMAIN, lossShare = 0.2)
        val stale =
            listOf(
                ResumptionTroubles("5 entries, stale view", staleFor = 5.seconds),
                LARGE.copy("33 entries, stale view", kill = Kill.SOME_ENTRIES, staleFor = 5.seconds),
                ResumptionTroubles("5 entries, one cut off", staleFor = 5.seconds, isCut = true),
                LARGE.copy("33 entries, one cut off", kill = Kill.SOME_ENTRIES, staleFor = 5.seconds, isCut = true),
            )
        val kept =
            listOf(
                LARGE.copy("33 entries, addresses kept", kill = Kill.SOME_ENTRIES, areAddressesKept = true),
                stale[1].copy("33 entries, stale view, addresses kept", areAddressesKept = true),
                stale[2].copy("5 entries, one cut off, addresses kept", areAddressesKept = true),
            )
        (kills + losses + stale + kept).forEach { troubles ->
            test("streams go on only at the version that began them: ${troubles.name}") {
                val total = ResumptionOutcome()
                (1..SEEDS).forEach { total += ResumptionSimulation(troubles, it).run() }
                println("${troubles.name}: $total")
                total.joined.forEach { println("joined: $it") }
                assertSoftly {
                    total.joined.shouldBeEmpty()
                    total.takeUps shouldBeGreaterThan MINIMUM_TAKE_UPS
                    if (troubles.kill != Kill.ALL_PROCESSES && total.possible >= MINIMUM_POSSIBLE) {
                        total.continuedShare shouldBeGreaterThanOrEqual MINIMUM_CONTINUED_SHARE
                    }
                }
            }
        }
    }) {
    private companion object {
        val SEEDS = Integer.getInteger("resumption.seeds", 5)
        val LARGE = ResumptionTroubles("33 entries", entries = 33, streamsPerSecond = 100)
        const val MINIMUM_TAKE_UPS = 50

        /** Number of take-ups from which their share is judged. */
        const val MINIMUM_POSSIBLE = 100

        /** Share of take-ups that go on where that is possible, relative to that of new streams that begin. */
        const val MINIMUM_CONTINUED_SHARE = 0.5
    }
}
