package tanagerlane.admission

import tanagerlane.model.TargetName
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * What this process has just seen of targets itself, which is newer than the reports of the others.
 *
 * A target that has rejected a request is full, whatever the reports show, and one at which a request of this process
 * has ended has a free place. Both hold until the next reports show the load. Not thread-safe.
 *
 * @param reportAge time until the reports show what was seen
 */
internal class ObservedTargets(
    private val reportAge: Duration,
) {
    private val rejectedAt = HashMap<TargetName, Instant>()
    private val freedAt = HashMap<TargetName, Instant>()

    /** Records that [target] has rejected a request. */
    fun rejected(
        target: TargetName,
        now: Instant,
    ) {
        freedAt.remove(target)
        rejectedAt[target] = now
    }

    /** Records that a request of this process that was running at [target] has ended. */
    fun freed(
        target: TargetName,
        now: Instant,
    ) {
        rejectedAt.remove(target)
        freedAt[target] = now
    }

    /** Records that this process has sent a request to [target]. */
    fun sent(target: TargetName) {
        freedAt.remove(target)
    }

    fun isFull(
        target: TargetName,
        now: Instant,
    ): Boolean = rejectedAt[target]?.let { now - it <= reportAge } ?: false

    fun hasFreedPlace(
        target: TargetName,
        now: Instant,
    ): Boolean = freedAt[target]?.let { now - it <= reportAge } ?: false

    /** Forgets what is too old to count. */
    fun expire(now: Instant) {
        rejectedAt.values.removeIf { now - it > reportAge }
        freedAt.values.removeIf { now - it > reportAge }
    }
}
