package tanagerlane.runtime

import kotlin.time.Clock
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Instant

/**
 * Clock whose readings never go back.
 *
 * It starts at the wall clock's time and then follows the machine's monotonic timer, so a change of the wall clock does
 * not move leases or deadlines.
 */
public class MonotonicClock(
    private val origin: Instant = Clock.System.now(),
    private val ticks: () -> Long = System::nanoTime,
) {
    private val originTicks = ticks()

    /** Reads the clock. */
    public fun now(): Instant = origin + (ticks() - originTicks).nanoseconds
}
