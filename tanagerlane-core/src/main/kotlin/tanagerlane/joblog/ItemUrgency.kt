package tanagerlane.joblog

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * How urgent an item is; the least value goes first.
 *
 * Answers a load of more items than can be done in time, as after a burst of jobs or a loss of all processes: by due
 * time alone, items that are late anyway would make the next ones late as well. So items that can still be done in
 * time go first, by due time, and late ones take what these leave.
 *
 * @property isLate whether the item can't be done in time any more
 * @property remaining time that it still has to run
 */
public data class ItemUrgency(
    val isLate: Boolean,
    val dueAt: Instant,
    val remaining: Duration,
) : Comparable<ItemUrgency> {
    override fun compareTo(other: ItemUrgency): Int =
        compareValuesBy(this, other, { it.isLate }, { it.dueAt }, { it.remaining })

    public companion object {
        /** Returns the urgency of an item of a job that is due at [dueAt] and of which [events] have come. */
        public fun of(
            dueAt: Instant,
            events: Int,
            pace: ItemTimeEstimate,
            now: Instant,
        ): ItemUrgency {
            val remaining = pace.remaining(events)
            return ItemUrgency(isLate = now + remaining > dueAt, dueAt = dueAt, remaining = remaining)
        }
    }
}
