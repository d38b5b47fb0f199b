package tanagerlane.pace

import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.serving.ServiceSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Keeps the requests that a cold target is sent under the rate that the configuration of its service declares.
 *
 * Each process uses a fixed share of the rate, so nothing has to be exchanged. A target may turn cold before any process
 * knows of it; what is sent to a target that is not known to be cold therefore stays within the bound as well. Targets
 * of services without a declared rate are not limited. Not thread-safe.
 */
internal class DeclaredLimit(
    private val shares: ProcessShares,
    private val settings: PaceSettings,
    private val startedAt: Instant,
    private val serviceOf: (ServiceName) -> ServiceSettings?,
) {
    private val readings = HashMap<TargetName, Reading>()
    private val sentAt = HashMap<TargetName, ArrayDeque<Instant>>()

    /** Records the cold times that the registrations of [targets] tell. */
    fun configure(
        targets: Collection<DirectTarget>,
        now: Instant,
    ) {
        for (target in targets) {
            val last = readings[target.name]
            if (last?.registration !== target) {
                readings[target.name] = Reading(target, coldUntil(target, last, now))
            }
        }
        if (readings.size > targets.size) {
            val names = targets.mapTo(HashSet()) { it.name }
            readings.keys.retainAll(names)
            sentAt.keys.retainAll(names)
        }
    }

    /** Whether this process may send one more request to [target]. */
    fun admits(
        target: DirectTarget,
        now: Instant,
    ): Boolean {
        val rate = rateOf(target) ?: return true
        if (now - startedAt < settings.quietStart) {
            return false
        }
        return sentWithin(target.name, now) < shares.ownShare(wholeFor(target.name, rate, now), target.name)
    }

    /** Records that this process has sent a request to [target]. */
    fun sent(
        target: TargetName,
        now: Instant,
    ) {
        val registration = readings[target]?.registration ?: return
        if (rateOf(registration) != null) {
            sentAt.getOrPut(target) { ArrayDeque() }.addLast(now)
        }
    }

    /** Whether the service of [target] declares a rate. */
    fun isLimited(target: DirectTarget): Boolean = rateOf(target) != null

    /** Returns the time for which [target] is taken to stay cold; zero if its service declares no rate. */
    fun coldTime(
        target: DirectTarget,
        now: Instant,
    ): Duration {
        val until = readings[target.name]?.coldUntil?.takeIf { rateOf(target) != null } ?: return Duration.ZERO
        return (until - now).coerceAtLeast(Duration.ZERO)
    }

    /** Requests of all processes to [target] in one second. */
    private fun wholeFor(
        target: TargetName,
        rate: Double,
        now: Instant,
    ): Int {
        val bound = rate * settings.overage + settings.slack
        val warm = (bound * settings.warmShare).toInt()
        val isCold = readings[target]?.let { it.coldUntil > now } ?: true
        return if (isCold) minOf((rate * settings.coldShare).toInt(), warm) else warm
    }

    /**
     * Returns until when [target] is cold.
     *
     * A registration without a usable cold time leaves the last one in force; a target that never told one is cold from
     * the start of its registration. None is cold for longer than its service says.
     */
    private fun coldUntil(
        target: DirectTarget,
        last: Reading?,
        now: Instant,
    ): Instant {
        val longest = serviceOf(target.service)?.coldTime ?: LONGEST_COLD_TIME
        val told = target.coldTime
        return when {
            told != null && told <= Duration.ZERO -> now
            told != null -> now + minOf(told, longest) + settings.coldMargin
            last != null -> last.coldUntil
            else -> now + longest + settings.coldMargin
        }
    }

    private fun sentWithin(
        target: TargetName,
        now: Instant,
    ): Int {
        val times = sentAt[target] ?: return 0
        while (times.isNotEmpty() && now - times.first() >= settings.rateWindow) {
            times.removeFirst()
        }
        return times.size
    }

    private fun rateOf(target: DirectTarget): Double? = serviceOf(target.service)?.coldRate

    private class Reading(
        val registration: DirectTarget,
        val coldUntil: Instant,
    )

    private companion object {
        /** Longest time for which a target is taken to be cold if its service does not say how long it may be. */
        val LONGEST_COLD_TIME = 10_000.milliseconds
    }
}
