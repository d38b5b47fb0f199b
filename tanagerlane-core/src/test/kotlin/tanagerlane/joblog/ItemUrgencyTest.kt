package tanagerlane.joblog

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class ItemUrgencyTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000_000)
        val estimate = ItemTimeEstimate().withItem(events = 200)

        data class OrderCase(
            val name: String,
            val first: ItemUrgency,
            val second: ItemUrgency,
        )

        fun urgency(
            due: Duration,
            events: Int = 0,
        ) = ItemUrgency.of(start + due, events, estimate, start)
        listOf(
            OrderCase("the item with the earlier due time", urgency(8.seconds), urgency(9.seconds)),
            OrderCase(
                "an item that can still finish in time rather than a late one",
                urgency(9.seconds),
                urgency(4.seconds),
            ),
            OrderCase(
                "an item with enough progress to finish in time",
                urgency(2.seconds, 150),
                urgency(4.seconds, 10),
            ),
            OrderCase(
                "the item of the same job with less remaining time",
                urgency(8.seconds, 20),
                urgency(8.seconds),
            ),
            OrderCase("the late item with the earlier due time", urgency(1.seconds), urgency(2.seconds)),
        ).forEach { case ->
            test("the first to run is ${case.name}") {
                listOf(case.second, case.first).sorted() shouldBe listOf(case.first, case.second)
            }
        }

        test("before the first item is complete, an item is late only once its due time has passed") {
            ItemUrgency.of(start + 1.milliseconds, 0, ItemTimeEstimate(), start).isLate shouldBe false
            ItemUrgency.of(start - 1.milliseconds, 0, ItemTimeEstimate(), start).isLate shouldBe true
        }

        test("the estimate follows the measured runs and ignores very short ones") {
            val updated = ItemTimeEstimate().withRun(events = 100, elapsed = 3500.milliseconds)
            updated.timePerEvent shouldBe 26.milliseconds
            updated.withRun(events = 9, elapsed = 9.seconds) shouldBe updated
            updated.withItem(100).withItem(200).eventsPerItem shouldBe 110.0
        }

        test("after a loss of all progress, more items finish in time than in the order of due times alone") {
            val byDueTime = BacklogSimulation(compareBy({ it.dueAt }, { it.number })).itemsInTime()
            val byUrgency =
                BacklogSimulation(
                    compareBy({ it.urgency(ItemTimeEstimate().withItem(EVENTS)) }, { it.number }),
                ).itemsInTime()
            byUrgency shouldBeGreaterThan byDueTime
        }
    })

/** Number of events of each simulated item; each event takes 25 ms. */
private const val EVENTS = 200

/**
 * Simulates a backlog of 200 items, ten for each of 20 jobs that are due one second apart. Online load varies
 * periodically and leaves 50 places for 3 s, then 10 places for 2.2 s.
 */
private class BacklogSimulation(
    private val order: Comparator<Item>,
) {
    private val begin = Instant.fromEpochSeconds(1_000_000)
    private var now = begin
    private val items = List(200) { Item(number = it, dueAt = begin + (it / 10).seconds + 1.seconds) }

    fun itemsInTime(): Int {
        var inTime = 0
        while (now < begin + 25.seconds) {
            val open = items.filter { it.events < EVENTS }
            open.sortedWith(order).take(places()).forEach { item ->
                item.events++
                if (item.events == EVENTS && now <= item.dueAt) inTime++
            }
            now += STEP
        }
        return inTime
    }

    private fun places(): Int = if ((now - begin).inWholeMilliseconds % PERIOD_MILLIS < LOW_LOAD_MILLIS) 50 else 10

    inner class Item(
        val number: Int,
        val dueAt: Instant,
    ) {
        var events = 0

        fun urgency(estimate: ItemTimeEstimate): ItemUrgency = ItemUrgency.of(dueAt, events, estimate, now)
    }

    private companion object {
        val STEP = 25.milliseconds
        const val PERIOD_MILLIS = 5_200L
        const val LOW_LOAD_MILLIS = 3_000L
    }
}
