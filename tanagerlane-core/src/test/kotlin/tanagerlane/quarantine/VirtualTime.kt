package tanagerlane.quarantine

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Instant

/** Actions of a simulation in the order of their times; those of the same time run in the order of their addition. */
internal class VirtualTime(
    start: Instant,
) {
    private val queue = PriorityQueue<Step>(compareBy({ it.at }, { it.number }))

    /** Number of actions added so far. */
    var steps = 0L
        private set
    var now: Instant = start
        private set

    fun after(
        time: Duration,
        action: () -> Unit,
    ) {
        queue += Step(now + time, steps++, action)
    }

    fun every(
        pause: Duration,
        action: () -> Unit,
    ) {
        after(pause) {
            action()
            every(pause, action)
        }
    }

    /** Runs the actions up to [end]. */
    fun runUntil(end: Instant) {
        while (true) {
            val step = queue.poll()?.takeIf { it.at <= end } ?: return
            now = step.at
            step.action()
        }
    }

    private class Step(
        val at: Instant,
        val number: Long,
        val action: () -> Unit,
    )
}
