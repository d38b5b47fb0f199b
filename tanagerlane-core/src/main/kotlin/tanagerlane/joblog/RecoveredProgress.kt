package tanagerlane.joblog

import tanagerlane.model.JobId
import tanagerlane.model.RequestId
import kotlin.time.Instant

/**
 * Progress of unfinished items, merged from saved records.
 *
 * The last records may be missing, and records may be repeated. The events that are returned for an item always start
 * with its first event and have no gap.
 */
public class RecoveredProgress {
    private val saved = LinkedHashMap<ItemKey, SavedProgress>()

    /** Merges [record]; events that would leave a gap after the known ones are ignored. */
    public fun add(record: SavedProgressRecord) {
        record.items.forEach(::add)
    }

    /** Removes and returns the events of [item], starting with the first one. */
    public fun take(
        job: JobId,
        item: RequestId,
    ): List<SavedEvent> = saved.remove(ItemKey(job, item))?.events.orEmpty()

    /** Returns the items that must not be given up yet at [now], each with all its events. */
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
