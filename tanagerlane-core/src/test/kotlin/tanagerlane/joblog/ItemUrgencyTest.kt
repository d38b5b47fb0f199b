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
        val pace = ItemTimeEstimate().withItem(events = 200)

        data class OrderCase(
            val name: String,
            val first: ItemUrgency,
            val second: ItemUrgency,
        )

        fun urgency(
            due: Duration,
            events: Int = 0,
        ) = ItemUrgency.of(start + due, events, pace, start)
        listOf(
            OrderCase("the earlier due time", urgency(8.seconds), urgency(9.seconds)),
            OrderCase("an item that can be done in time before a late one", urgency(9.seconds), urgency(4.seconds)),
            OrderCase("an item far on, in time since little is left", urgency(2.seconds, 150), urgency(4.seconds, 10)),
            OrderCase("of the same job, the item with less left", urgency(8.seconds, 20), urgency(8.seconds)),
            OrderCase("of late items, the earlier due one", urgency(1.seconds), urgency(2.seconds)),
        ).forEach { case ->
            test("first goes ${case.name}") {
                listOf(case.second, case.first).sorted() shouldBe listOf(case.first, case.second)
            }
        }

        test("before any item has ended only due times that are past make an item late") {
            ItemUrgency.of(start + 1.milliseconds, 0, ItemTimeEstimate(), start).isLate shouldBe false
            ItemUrgency.of(start - 1.milliseconds, 0, ItemTimeEstimate(), start).isLate shouldBe true
        }

        test("a pace follows what runs show, and very short runs show nothing") {
            val seen = ItemTimeEstimate().withRun(events = 100, elapsed = 3500.milliseconds)
            seen.timeOfEvent shouldBe 26.milliseconds
            seen.withRun(events = 9, elapsed = 9.seconds) shouldBe seen
            seen.withItem(100).withItem(200).eventsOfItem shouldBe 110.0
        }

        test("after a loss of all progress more items are done in time than by due time alone") {
            val byDueTime = BacklogReplay(compareBy({ it.dueAt }, { it.number })).itemsInTime()
            val byUrgency =
                BacklogReplay(
                    compareBy({ it.urgency(ItemTimeEstimate().withItem(EVENTS)) }, { it.number }),
                ).itemsInTime()
            byUrgency shouldBeGreaterThan byDueTime
        }
    })

/** Events of each item in the replay, 25 ms each. */
private const val EVENTS = 200

/**
 * Replays a backlog of 200 items, ten of each of 20 jobs that are due a second apart, against waves of callers that
 * leave 50 places for 3 s and 10 places for 2.2 s.
 */
private class BacklogReplay(
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

    private fun places(): Int = if ((now - begin).inWholeMilliseconds % WAVE < TROUGH) 50 else 10

    inner class Item(
        val number: Int,
        val dueAt: Instant,
    ) {
        var events = 0

        fun urgency(pace: ItemTimeEstimate): ItemUrgency = ItemUrgency.of(dueAt, events, pace, now)
    }

    private companion object {
        val STEP = 25.milliseconds
        const val WAVE = 5_200L
        const val TROUGH = 3_000L
    }
}
