package tanagerlane.quarantine

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Days with requests that are sent again, with and without one that crashes targets, held to the rules for them. */
class RequestSimulationTest :
    FunSpec({
        val soundDays =
            listOf(
                RequestTroubles("targets that crash one by one", crashPause = 1.seconds),
                RequestTroubles("racks that fail at once", 6, 1, 12, targetsAtOnce = 4, crashPause = 5.seconds),
                RequestTroubles(
                    "racks that fail within 0.2 s",
                    services = 1,
                    targetsPerService = 12,
                    targetsAtOnce = 4,
                    crashPause = 5.seconds,
                    crashSpread = 200.milliseconds,
                ),
                RequestTroubles(
                    "racks that fail within 1 s",
                    services = 1,
                    targetsPerService = 12,
                    targetsAtOnce = 4,
                    crashPause = 5.seconds,
                    crashSpread = 1.seconds,
                ),
                RequestTroubles("services that fail at once", targetsAtOnce = 4, crashPause = 10.seconds),
                RequestTroubles(
                    "services that fail within 0.2 s",
                    targetsAtOnce = 4,
                    crashPause = 10.seconds,
                    crashSpread = 200.milliseconds,
                ),
                RequestTroubles(
                    "crashes that busy observers see late",
                    crashPause = 1.seconds,
                    observerDelay = 200.milliseconds,
                ),
                RequestTroubles(
                    "services that fail at once before busy observers",
                    targetsAtOnce = 4,
                    crashPause = 10.seconds,
                    observerDelay = 200.milliseconds,
                ),
                RequestTroubles("crashes, restarts of entries", crashPause = 1.seconds, restartPause = 3.seconds),
                RequestTroubles("crashes, frozen entries", crashPause = 1.seconds, freezePause = 4.seconds),
                RequestTroubles("crashes, lost reports", crashPause = 1.seconds, lossShare = 0.5),
            )
        rows(soundDays).forEach { troubles ->
            test("sound requests are not refused beside ${troubles.name}: ${troubles.entries} entries") {
                assertSoftly {
                    for (seed in seedsFor(troubles.entries)) {
                        val day = RequestSimulation(troubles, seed).run()
                        withClue("seed $seed, $day") {
                            val crashes = (troubles.length / checkNotNull(troubles.crashPause)).toInt() - 1
                            day.otherCrashes shouldBeGreaterThanOrEqual crashes
                            day.soundRefused.values.sum() shouldBeLessThanOrEqual maximumRefused(day)
                        }
                    }
                }
            }
        }

        val deadlyDays =
            listOf(
                RequestTroubles("every 0.3 s", deadlyPause = 300.milliseconds),
                RequestTroubles("every second", deadlyPause = 1.seconds),
                RequestTroubles("every 3 s", deadlyPause = 3.seconds),
                RequestTroubles("every 0.3 s, 12 targets", 6, 1, 12, deadlyPause = 300.milliseconds),
                RequestTroubles("every 3 s, 12 targets", 6, 1, 12, deadlyPause = 3.seconds),
                RequestTroubles("every 0.3 s, restarts", deadlyPause = 300.milliseconds, restartPause = 3.seconds),
                RequestTroubles(
                    "every 0.3 s, restarts, 12 targets",
                    services = 1,
                    targetsPerService = 12,
                    deadlyPause = 300.milliseconds,
                    restartPause = 3.seconds,
                ),
                RequestTroubles("every 0.3 s, lost reports", deadlyPause = 300.milliseconds, lossShare = 0.5),
                RequestTroubles("every 3 s, lost reports", deadlyPause = 3.seconds, lossShare = 0.5),
                RequestTroubles("every 0.3 s, frozen entries", deadlyPause = 300.milliseconds, freezePause = 4.seconds),
                RequestTroubles("every 3 s, frozen entries", deadlyPause = 3.seconds, freezePause = 4.seconds),
                RequestTroubles(
                    "every second, busy observers",
                    deadlyPause = 1.seconds,
                    observerDelay = 200.milliseconds,
                ),
                RequestTroubles(
                    "every second, beside other crashes",
                    deadlyPause = 1.seconds,
                    crashPause = 1.seconds,
                ),
            )
        val longDay =
            RequestTroubles("every 0.3 s for 10 minutes", deadlyPause = 300.milliseconds, length = 10.minutes)
        (rows(deadlyDays) + longDay).forEach { troubles ->
            val row = "${troubles.name}, ${troubles.entries} entries"
            val days by lazy {
                val seeds = if (troubles == longDay) LONG_SEEDS else seedsFor(troubles.entries)
                seeds.associateWith { RequestSimulation(troubles, it).run() }
            }
            test("a request that crashes targets is kept from them: $row") {
                assertSoftly {
                    for ((seed, day) in days) {
                        withClue("seed $seed, $day") {
                            day.deadlyCrashes.size shouldBeGreaterThanOrEqual CRASHES_TO_JUDGE
                            val third = day.deadlyCrashes.getOrElse(CRASHES_TO_JUDGE - 1) { day.deadlyCrashes.last() }
                            day.deadlySent.count { it > third + CONTACT_TIME } shouldBeLessThanOrEqual MAXIMUM_LATE
                        }
                    }
                }
            }
            test("sound requests are not refused beside a request that crashes targets: $row") {
                assertSoftly {
                    for ((seed, day) in days) {
                        withClue("seed $seed, $day") {
                            day.soundRefused.values.sum() shouldBeLessThanOrEqual maximumRefused(day)
                        }
                    }
                }
            }
        }
    }) {
    private companion object {
        /** Fewer days of many entries, as each of these reports to all others. */
        val SEEDS = mapOf(6 to 1..20, 23 to 1..2, 100 to 1..1)
        val LONG_SEEDS = 1..3

        fun seedsFor(entries: Int): IntRange = SEEDS.getValue(entries)

        /** Returns [days] with each number of entries; every third of them, and a shorter one, with many. */
        fun rows(days: List<RequestTroubles>): List<RequestTroubles> =
            SEEDS.keys.flatMap { entries ->
                if (entries < 100) {
                    days.map { it.copy(entries = entries) }
                } else {
                    days
                        .filterIndexed {
                            index,
                            _,
                            ->
                            index % 3 == 2
                        }.map { it.copy(entries = entries, length = 30.seconds) }
                }
            }

        /** Requests that may be refused wrongly in a day: some, and one in [DENIED_DIVISOR]. */
        fun maximumRefused(day: RequestOutcome): Int = MAXIMUM_DENIED + day.soundSent / DENIED_DIVISOR

        val CONTACT_TIME = 3.seconds
        const val CRASHES_TO_JUDGE = 3

        /** Runs of the request that may begin later than [CONTACT_TIME] after its third crash. */
        const val MAXIMUM_LATE = 3
        const val MAXIMUM_DENIED = 5
        const val DENIED_DIVISOR = 500
    }
}
