package tanagerlane.joblog

import tanagerlane.model.JobId
import tanagerlane.model.RequestId
import kotlin.time.Instant

/**
 * Progress of unfinished items, merged from saved records.
 *
 * The last records may be missing, and records may be repeated. The events that are returned for an item always start
 * with its first event, have no gap and come from targets of one software version.
 */
public class RecoveredProgress {
    private val saved = LinkedHashMap<ItemKey, SavedProgress>()

    /** Merges [record]; events that leave a gap after the known ones, or are of another version, are ignored. */
    public fun add(record: SavedProgressRecord) {
        record.items.forEach(::add)
    }

    /** Removes and returns the progress of [item], starting with its first event, or null if none is known. */
    public fun take(
        job: JobId,
        item: RequestId,
    ): SavedProgress? = saved.remove(ItemKey(job, item))

    /** Returns the items that must not be given up yet at [now], each with all its events. */
    public fun items(now: Instant): List<SavedProgress> = saved.values.filter { it.keepUntil > now }

    private fun add(progress: SavedProgress) {
        val key = ItemKey(progress.job, progress.item)
        val known = saved[key]
        val preceding = known?.events.orEmpty().take(progress.before)
        val isOfOneVersion = preceding.isEmpty() || known?.version == progress.version
        if (preceding.size < progress.before || !isOfOneVersion) {
            return
        }
        saved[key] = progress.copy(before = 0, events = preceding + progress.events)
    }

    private data class ItemKey(
        val job: JobId,
        val item: RequestId,
    )
}
