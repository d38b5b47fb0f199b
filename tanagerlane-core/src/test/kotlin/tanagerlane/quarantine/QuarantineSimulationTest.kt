package tanagerlane.quarantine

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Days with and without prompts that crash targets, held to the rules for them. */
class QuarantineSimulationTest :
    FunSpec({
        listOf(
            DayTroubles("targets that crash one by one", crashPause = 1.seconds),
            DayTroubles("racks that fail at once", targetsAtOnce = 4, crashPause = 5.seconds),
            DayTroubles(
                "racks whose targets fail one after the other",
                targetsAtOnce = 4,
                crashPause = 5.seconds,
                crashSpread = 1.seconds,
            ),
            DayTroubles("domains that fail at once", targetsAtOnce = 8, crashPause = 10.seconds),
            DayTroubles("crashes of targets, restarts of processes", crashPause = 1.seconds, restartPause = 3.seconds),
            DayTroubles("crashes of targets, frozen processes", crashPause = 1.seconds, freezePause = 4.seconds),
            DayTroubles(
                "racks that fail at once, lost reports",
                targetsAtOnce = 4,
                crashPause = 5.seconds,
                lossShare = 0.5,
            ),
        ).forEach { troubles ->
            test("sound requests are not refused beside ${troubles.name}") {
                assertSoftly {
                    for (seed in SEEDS) {
                        val day = QuarantineSimulation(troubles, seed).run()
                        withClue("seed $seed, ${day.soundSent} sent, parts ${day.wrongParts}") {
                            day.otherCrashes.size shouldBeGreaterThanOrEqual MINIMUM_CRASHES
                            day.soundRefused shouldBeLessThanOrEqual MAXIMUM_DENIED + day.soundSent / DENIED_DIVISOR
                        }
                    }
                }
            }
        }

        listOf(
            DayTroubles("nothing else", guiltyShare = 0.05),
            DayTroubles("many such requests", guiltyShare = 0.3),
            DayTroubles("few such requests", guiltyShare = 0.02),
            DayTroubles("two such parts", guiltyShare = 0.1, guiltyParts = 2),
            DayTroubles("targets that crash one by one", guiltyShare = 0.05, crashPause = 1.seconds),
            DayTroubles("racks that fail at once", 0.05, targetsAtOnce = 4, crashPause = 5.seconds),
            DayTroubles("restarts of processes", guiltyShare = 0.05, restartPause = 3.seconds),
            DayTroubles("frozen processes", guiltyShare = 0.05, freezePause = 4.seconds),
            DayTroubles("lost reports", guiltyShare = 0.05, lossShare = 0.5),
            DayTroubles("batch items that are held", guiltyShare = 0.05, areHeld = true),
        ).forEach { troubles ->
            test("prompts that crash targets are kept from them and sound ones served beside ${troubles.name}") {
                assertSoftly {
                    for (seed in SEEDS) {
                        val day = QuarantineSimulation(troubles, seed).run()
                        val fifth = day.crashesByPrompts.getOrElse(FIFTH) { day.crashesByPrompts.last() }
                        val late = day.guiltyReached.count { it > fifth + CONTACT_TIME }
                        val begin = fifth + CONTACT_TIME * 2
                        val (after, others) = day.related.partition { (at, _) -> at in begin..begin + JUDGED_TIME }
                        val ratio =
                            after.count { it.second } * others.size.toDouble() /
                                (after.size * others.count { it.second })
                        withClue("seed $seed, ${day.crashesByPrompts.size} crashes, wrong ${day.wrongParts}") {
                            if (day.crashesByPrompts.size > FIFTH) late shouldBeLessThanOrEqual MAXIMUM_LATE
                            ratio shouldBeGreaterThanOrEqual MINIMUM_RATIO
                        }
                    }
                }
            }
        }
    }) {
    private companion object {
        val SEEDS = 1..20
        val CONTACT_TIME = 3000.milliseconds

        /** Index of the crash from which the times of the rules count. */
        const val FIFTH = 4

        /** Requests with a part that crashes targets that may still reach them [CONTACT_TIME] after the fifth crash. */
        const val MAXIMUM_LATE = 3

        /** Time in which the sound requests are judged; terms of wrong verdicts are shorter at first. */
        val JUDGED_TIME = 20.seconds

        /** Share of sound requests that are served, against that at other times. */
        const val MINIMUM_RATIO = 0.5

        /** Requests that may be refused wrongly in a day, besides one in [DENIED_DIVISOR]. */
        const val MAXIMUM_DENIED = 5
        const val DENIED_DIVISOR = 500
        const val MINIMUM_CRASHES = 5
    }
}
