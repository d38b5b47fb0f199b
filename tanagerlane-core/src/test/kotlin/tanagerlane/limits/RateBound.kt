package tanagerlane.limits

import tanagerlane.model.HostName
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Checks the arrivals of one key against the rates in force on any entry, over all windows.
 *
 * @property fastestClock speed of the fastest clock that counts, 1 for an exact one
 */
internal class RateBound(
    first: Rate,
    private val fastestClock: Double = 1.0,
) {
    private val rates = HashMap<HostName, Rate>()
    private val changes = mutableListOf(Change(Duration.ZERO, first.perSecond, listOf(first)))
    private val lingering = mutableListOf<Lingering>()
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
        rates.put(host, rate)?.let { lingering += Lingering(it, at) }
        note(at)
    }

    fun stopped(
        host: HostName,
        at: Duration,
    ) {
        rates.remove(host)?.let { lingering += Lingering(it, at) }
        note(at)
    }

    /** The most requests by which any window exceeds rate times length plus burst; not positive where none does. */
    fun worstOverrun(): Double {
        val earned = arrivals.map(::earnedUntil)
        val bursts = arrivals.map(::burstAt)
        var worst = Double.NEGATIVE_INFINITY
        for (first in arrivals.indices) {
            var burst = 0
            for (last in first..arrivals.lastIndex) {
                burst = maxOf(burst, bursts[last])
                worst = maxOf(worst, last - first + 1 - (earned[last] - earned[first]) - burst)
            }
        }
        return worst
    }

    private fun note(at: Duration) {
        val inForce = rates.values.toList()
        if (inForce.isNotEmpty()) {
            changes += Change(at, inForce.maxOf { it.perSecond }, inForce)
        }
    }

    private fun earnedUntil(at: Duration): Double =
        changes.withIndex().sumOf { (index, change) ->
            val end = minOf(at, changes.getOrNull(index + 1)?.at ?: at)
            maxOf(0.0, (end - change.at).toDouble(DurationUnit.SECONDS)) * change.perSecond * fastestClock
        }

    /** Requests that were admitted under a burst may arrive for the validity of their permits after it was lowered. */
    private fun burstAt(at: Duration): Int {
        val current = changes.last { it.at <= at }.inForce
        val earlier = lingering.filter { it.until <= at && at < it.until + PERMIT_END }.map { it.rate }
        return (current + earlier).maxOf { it.burst }
    }

    private data class Change(
        val at: Duration,
        val perSecond: Double,
        val inForce: List<Rate>,
    )

    private data class Lingering(
        val rate: Rate,
        val until: Duration,
    )

    private companion object {
        val PERMIT_END = LimitTimes().let { it.permitValidity + it.margin * 2 }
    }
}
