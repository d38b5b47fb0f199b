package tanagerlane.admission

import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Distributes the retries of refused requests over the time in which places are forecast to be free.
 *
 * Retries go to other entries, but every entry promises only the places that its own requests free, so together they
 * promise each place once. Not thread-safe.
 */
internal class RetryCalendar(
    private val draw: () -> Double,
) {
    private val promised = TreeMap<Long, Int>()

    /**
     * Chooses the time after which a request that is refused at [now] should be retried.
     *
     * @param longest time for which the caller waits at most
     * @param capacityPerSecond places that become free; not more than these are promised while there is other time
     * @param freePerSecond forecast of the places that become free and are not needed by arrivals, at a time from now;
     *   may be negative
     */
    fun choose(
        longest: Duration,
        capacityPerSecond: Double,
        freePerSecond: (Duration) -> Double,
        now: Instant,
    ): Duration {
        val current = stepOf(now)
        promised.headMap(current).clear()
        val last = current + (longest / STEP).toLong() - 1
        val first = minOf(current + EARLIEST_STEPS, last)
        val seconds = STEP.toDouble(DurationUnit.SECONDS)
        val most = (capacityPerSecond * seconds).coerceAtLeast(1.0)
        val open = (first..last).filter { (promised[it] ?: 0) < most }.ifEmpty { first..last }
        val best =
            open.maxByOrNull { step ->
                freePerSecond(STEP * (step - current).toDouble()) * seconds - (promised[step] ?: 0)
            } ?: return longest.coerceAtLeast(Duration.ZERO)
        promised.merge(best, 1, Int::plus)
        return (STEP * (best - current + draw())).coerceIn(Duration.ZERO, longest)
    }

    private fun stepOf(time: Instant): Long = time.toEpochMilliseconds() / STEP.inWholeMilliseconds

    private companion object {
        val STEP = 50.milliseconds

        /** Sooner retries find the situation that led to the refusal. */
        const val EARLIEST_STEPS = 3L
    }
}
