package tanagerlane.admission

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * The part of the free places that this process may take while requests wait in several processes.
 *
 * All processes see the same free places in reports of the same age. Each takes what its own requests have freed, and of
 * the others the part that its waiting requests have among all; a fraction of a place is decided by lot. Places that it
 * has taken within the age of a report count against that part, as the others can't know of them. Not thread-safe.
 */
internal class PlaceShare(
    private val reportAge: Duration,
    private val draw: () -> Double,
) {
    private val freed = ArrayDeque<Instant>()
    private val taken = ArrayDeque<Instant>()
    private var lot = 0.0
    private var drawnAt: Instant? = null

    /** Records that a request of this process has ended and freed its place. */
    fun freed(now: Instant) {
        expire(now)
        freed.addLast(now)
    }

    /** Records that this process has sent a request. */
    fun taken(now: Instant) {
        expire(now)
        if (freed.removeFirstOrNull() == null) taken.addLast(now)
    }

    /**
     * Whether this process may take one more place.
     *
     * @param free returns the free places that it sees
     * @param waiting requests that wait here, with the one to be sent
     * @param waitingElsewhere requests that wait in other processes
     */
    fun mayTake(
        free: () -> Int,
        waiting: Int,
        waitingElsewhere: Int,
        now: Instant,
    ): Boolean {
        expire(now)
        if (waitingElsewhere == 0 || freed.isNotEmpty()) {
            return true
        }
        val last = drawnAt
        if (last == null || now - last >= reportAge) {
            lot = draw()
            drawnAt = now
        }
        val share = waiting.toDouble() / (waiting + waitingElsewhere)
        return taken.size + 1 <= share * (free() + taken.size) + lot
    }

    private fun expire(now: Instant) {
        while (freed.isNotEmpty() && now - freed.first() > reportAge) freed.removeFirst()
        while (taken.isNotEmpty() && now - taken.first() > reportAge) taken.removeFirst()
    }
}
