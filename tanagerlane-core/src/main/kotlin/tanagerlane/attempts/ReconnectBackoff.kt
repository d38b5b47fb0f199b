package tanagerlane.attempts

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Spreads attempts to connect; used by one thread at a time.
 *
 * @param random source of the spread; seed it for repeatable runs
 */
public class ReconnectBackoff(
    private val random: Random,
    private val first: Duration = 50.milliseconds,
    private val maximum: Duration = 2.seconds,
) {
    private var failures = 0

    /** Time to wait before the next attempt: between half and the whole of a bound that doubles up to the maximum. */
    public fun next(): Duration {
        val bound = minOf(first * (1 shl failures), maximum)
        failures = minOf(failures + 1, MAXIMUM_DOUBLINGS)
        return bound * (HALF + HALF * random.nextDouble())
    }

    /** Notes that a connection was opened and carried data. */
    public fun reset() {
        failures = 0
    }

    private companion object {
        const val HALF = 0.5
        const val MAXIMUM_DOUBLINGS = 20
    }
}
