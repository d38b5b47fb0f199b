package tanagerlane.limits

import tanagerlane.model.HostName
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Checks the arrivals of one key in every window against the highest rate and burst in force on any entry.
 *
 * @property fastestClockSpeed speed of the fastest clock of an entry; 1.0 for an exact clock
 */
internal class RateBound(
    initialRate: Rate,
    private val fastestClockSpeed: Double = 1.0,
) {
    private val rates = HashMap<HostName, Rate>()
    private val changes = mutableListOf(Change(Duration.ZERO, initialRate.perSecond, listOf(initialRate)))
    private val supersededRates = mutableListOf<SupersededRate>()
    private val arrivals = mutableListOf<Duration>()

    val arrived: Int
        get() = arrivals.size

    fun arrived(at: Duration) {
        arrivals += at
    }

    fun applied(
        host: HostName,
        rate: Rate,
        at: Duration,
    ) {
        rates.put(host, rate)?.let { supersededRates += SupersededRate(it, at) }
        recordChange(at)
    }

    fun stopped(
        host: HostName,
        at: Duration,
    ) {
        rates.remove(host)?.let { supersededRates += SupersededRate(it, at) }
        recordChange(at)
    }

    /** Largest excess of any window over rate times length plus burst, in requests; not positive if none exceeds it. */
    fun worstOverrun(): Double {
        val tokens = arrivals.map(::tokensUntil)
        val bursts = arrivals.map(::burstAt)
        var worst = Double.NEGATIVE_INFINITY
        for (first in arrivals.indices) {
            var burst = 0
            for (last in first..arrivals.lastIndex) {
                burst = maxOf(burst, bursts[last])
                worst = maxOf(worst, last - first + 1 - (tokens[last] - tokens[first]) - burst)
            }
        }
        return worst
    }

    private fun recordChange(at: Duration) {
        val inForce = rates.values.toList()
        if (inForce.isNotEmpty()) {
            changes += Change(at, inForce.maxOf { it.perSecond }, inForce)
        }
    }

    private fun tokensUntil(at: Duration): Double =
        changes.withIndex().sumOf { (index, change) ->
            val end = minOf(at, changes.getOrNull(index + 1)?.at ?: at)
            maxOf(0.0, (end - change.at).toDouble(DurationUnit.SECONDS)) * change.perSecond * fastestClockSpeed
        }

    /** Requests admitted under a burst may still arrive after it was lowered, while their permits are valid. */
    private fun burstAt(at: Duration): Int {
        val current = changes.last { it.at <= at }.inForce
        val earlier = supersededRates.filter { it.until <= at && at < it.until + PERMIT_LIFETIME }.map { it.rate }
        return (current + earlier).maxOf { it.burst }
    }

    private data class Change(
        val at: Duration,
        val perSecond: Double,
        val inForce: List<Rate>,
    )

    private data class SupersededRate(
        val rate: Rate,
        val until: Duration,
    )

    private companion object {
        val PERMIT_LIFETIME = LimitTimes().let { it.permitValidity + it.driftMargin * 2 }
    }
}
