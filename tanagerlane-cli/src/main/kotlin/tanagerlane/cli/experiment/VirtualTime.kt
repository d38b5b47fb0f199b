package tanagerlane.cli.experiment

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Instant

/** Runs actions in the order of their times, without waiting. */
internal class VirtualTime {
    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L

    var now: Instant = Instant.fromEpochSeconds(0)
        private set

    fun after(
        wait: Duration,
        action: () -> Unit,
    ) {
        order += 1
        events += Event(now + wait, order, action)
    }

    fun every(
        period: Duration,
        action: () -> Unit,
    ) {
        after(period) {
            action()
            every(period, action)
        }
    }

    fun runUntil(end: Instant) {
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.poll()
            now = event.at
            event.action()
        }
    }

    private data class Event(
        val at: Instant,
        val order: Long,
        val action: () -> Unit,
    )
}
