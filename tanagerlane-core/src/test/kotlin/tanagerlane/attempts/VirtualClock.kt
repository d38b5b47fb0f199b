package tanagerlane.attempts

import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Instant

/** Runs scheduled steps in order of virtual time. */
internal class VirtualClock {
    var now = START
        private set

    private val steps = PriorityQueue(compareBy<Step>({ it.at }, { it.number }))
    private var number = 0L

    fun after(
        delay: Duration,
        action: () -> Unit,
    ) = at(now + delay, action)

    fun at(
        time: Instant,
        action: () -> Unit,
    ) {
        steps += Step(maxOf(time, now), number++, action)
    }

    fun run(until: Instant) {
        while (steps.isNotEmpty() && steps.peek().at <= until) {
            val step = steps.poll()
            now = step.at
            step.action()
        }
    }

    private class Step(
        val at: Instant,
        val number: Long,
        val action: () -> Unit,
    )

    companion object {
        val START: Instant = Instant.fromEpochSeconds(1_000_000)
    }
}
