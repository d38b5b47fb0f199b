package tanagerlane.joblog

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Scheduling order of batch items; the least value runs first.
 *
 * Handles overload, when more items are pending than can finish in time, such as after a burst of jobs or a failure of
 * all processes. In the order of due times alone, items that are late in any case would make the next ones late as
 * well. So items that can still finish in time run first, in the order of their due times, and late items use the
 * remaining capacity.
 *
 * @property isLate whether the item can no longer finish by [dueAt]
 * @property dueAt time by which the results of the job are wanted
 * @property remaining expected time that the item still has to run
 */
public data class ItemUrgency(
    val isLate: Boolean,
    val dueAt: Instant,
    val remaining: Duration,
) : Comparable<ItemUrgency> {
    override fun compareTo(other: ItemUrgency): Int =
        compareValuesBy(this, other, { it.isLate }, { it.dueAt }, { it.remaining })

    /** Whether the item is in time at [now], but no longer if it waits for [margin]. */
    public fun isPressing(
        now: Instant,
        margin: Duration,
    ): Boolean = !isLate && now + remaining + margin > dueAt

    public companion object {
        /** Returns the urgency of an item with [events] events so far, of a job that is due at [dueAt]. */
        public fun of(
            dueAt: Instant,
            events: Int,
            estimate: ItemTimeEstimate,
            now: Instant,
        ): ItemUrgency {
            val remaining = estimate.remaining(events)
            return ItemUrgency(isLate = now + remaining > dueAt, dueAt = dueAt, remaining = remaining)
        }
    }
}
