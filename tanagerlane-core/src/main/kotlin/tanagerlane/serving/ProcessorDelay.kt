package tanagerlane.serving

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Measures how long work waits for the processor of this process, by the delay of a periodic task.
 *
 * Not thread-safe.
 *
 * @param interval time from one run of the periodic task to the next, if nothing delays it
 */
public class ProcessorDelay(
    private val interval: Duration,
) {
    private var dueAt: Instant? = null
    private var lastDelay = Duration.ZERO

    /** Records that the periodic task runs at [now]. */
    public fun ticked(now: Instant) {
        lastDelay = overdue(now)
        dueAt = now + interval
    }

    /** Returns the delay of the last run, or that of the next one if it is already longer. */
    public fun at(now: Instant): Duration = maxOf(lastDelay, overdue(now))

    private fun overdue(now: Instant): Duration =
        dueAt?.let { (now - it).coerceAtLeast(Duration.ZERO) } ?: Duration.ZERO
}
