package tanagerlane.joblog

import tanagerlane.model.JobId
import tanagerlane.model.RequestId
import kotlin.time.Instant

/**
 * What is known of unfinished items from saved records.
 *
 * Records may be missing at the end, or come twice; what is returned of an item is always a run of its events from
 * the first on without a gap.
 */
public class RecoveredProgress {
    private val saved = LinkedHashMap<ItemKey, SavedProgress>()

    /** Takes in [record]; events that do not follow those before are left out. */
    public fun add(record: SavedProgressRecord) {
        record.items.forEach(::add)
    }

    /** Returns the events of [item], from the first on, and forgets them. */
    public fun take(
        job: JobId,
        item: RequestId,
    ): List<SavedEvent> = saved.remove(ItemKey(job, item))?.events.orEmpty()

    /** Returns all items that may still be run at [now], each with all its events. */
    public fun items(now: Instant): List<SavedProgress> = saved.values.filter { it.keepUntil > now }

    private fun add(progress: SavedProgress) {
        val key = ItemKey(progress.job, progress.item)
        val known = saved[key]?.events.orEmpty()
        if (progress.before > known.size) {
            return
        }
        saved[key] = progress.copy(before = 0, events = known.take(progress.before) + progress.events)
    }

    private data class ItemKey(
        val job: JobId,
        val item: RequestId,
    )
}
