package tanagerlane.admission

import kotlin.math.exp
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * How many of the requests of each group were served lately, of those that came.
 *
 * A group is a workspace or a priority. Old requests count less and less; a group that falls below the floor is
 * preferred until it is above it again. Not thread-safe.
 */
internal class ServedShares(
    private val floorShare: Double,
) {
    private val groups = HashMap<Any?, Tally>()
    private val all = Tally()

    /** Records that a request of [group] came at [now]. */
    fun came(
        group: Any?,
        now: Instant,
    ) {
        groups.getOrPut(group) { Tally() }.add(1.0, 0.0, now)
    }

    /** Records that a request of [group] was sent to a target in time. */
    fun served(
        group: Any?,
        now: Instant,
    ) {
        groups.getOrPut(group) { Tally() }.add(0.0, 1.0, now)
    }

    /** Records a request of any group; [came] and [served] count it for its groups. */
    fun cameToAny(now: Instant): Unit = all.add(1.0, 0.0, now)

    /** Records that a request of any group was sent to a target in time. */
    fun servedToAny(now: Instant): Unit = all.add(0.0, 1.0, now)

    /** Whether [group] is served less often than the floor demands. */
    fun isBelowFloor(
        group: Any?,
        now: Instant,
    ): Boolean {
        val tally = groups[group] ?: return false
        tally.add(0.0, 0.0, now)
        all.add(0.0, 0.0, now)
        if (tally.came < MINIMUM_REQUESTS || all.came < MINIMUM_REQUESTS) {
            return false
        }
        return tally.served / tally.came < floorShare * RESERVE * all.served / all.came
    }

    /** Forgets groups of which no request came lately. */
    fun forgetIdle(now: Instant) {
        groups.values.removeIf {
            it.add(0.0, 0.0, now)
            it.came < FORGOTTEN_REQUESTS
        }
    }

    private class Tally {
        var came = 0.0
        var served = 0.0
        private var countedAt: Instant? = null

        fun add(
            newCame: Double,
            newServed: Double,
            now: Instant,
        ) {
            val elapsed = countedAt?.let { now - it }
            if (elapsed != null && elapsed.isPositive()) {
                val factor = exp(-(elapsed / WINDOW))
                came *= factor
                served *= factor
            }
            countedAt = now
            came += newCame
            served += newServed
        }
    }

    private companion object {
        val WINDOW = 5.seconds

        /** Requests below which a share says nothing. */
        const val MINIMUM_REQUESTS = 4.0
        const val FORGOTTEN_REQUESTS = 0.01

        /** Keeps the share above the floor, although a group is preferred only after it fell below. */
        const val RESERVE = 1.2
    }
}
