package tanagerlane.admission

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Instant

/** Runs actions in the order of their times in virtual time. */
internal class ReplayClock(
    private val start: Instant,
) {
    private val events = PriorityQueue(compareBy<Event>({ it.at }, { it.number }))
    private var count = 0L

    var now = start
        private set

    /** Time since the start. */
    val age: Duration get() = now - start

    /** Runs [action] when [delay] has passed. */
    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        events += Event(now + delay, count++, action)
    }

    /** Runs all actions of the first [duration]. */
    fun run(duration: Duration) {
        while (true) {
            val event = events.poll() ?: return
            if (event.at - start > duration) return
            now = event.at
            event.run()
        }
    }

    private class Event(
        val at: Instant,
        val number: Long,
        val run: () -> Unit,
    )
}
