package tanagerlane.attempts

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Exponential backoff with jitter between attempts to connect. Not thread-safe.
 *
 * @param random source of the jitter; use a seeded one for reproducible runs
 * @param initial upper bound of the first delay
 * @param maximum upper bound of all delays
 */
public class ReconnectBackoff(
    private val random: Random,
    private val initial: Duration = 50.milliseconds,
    private val maximum: Duration = 2.seconds,
) {
    private var failures = 0

    /** Returns the delay before the next attempt: between half and all of a bound that doubles up to the maximum. */
    public fun next(): Duration {
        val bound = minOf(initial * (1 shl failures), maximum)
        failures = minOf(failures + 1, MAXIMUM_DOUBLINGS)
        return bound * (HALF + HALF * random.nextDouble())
    }

    /** Resets the delay after a connection was opened and carried data. */
    public fun reset() {
        failures = 0
    }

    private companion object {
        const val HALF = 0.5
        const val MAXIMUM_DOUBLINGS = 20
    }
}
