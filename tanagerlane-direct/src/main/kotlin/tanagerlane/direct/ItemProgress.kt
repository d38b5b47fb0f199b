package tanagerlane.direct

import tanagerlane.joblog.ItemAttempts
import tanagerlane.joblog.RawItem
import tanagerlane.streams.StreamEvent
import kotlin.time.Instant

/** What has come of one item so far; kept over all its runs. */
internal class ItemProgress(
    val item: RawItem,
) {
    private val data = ArrayList<String>()

    /** Number of the last event that has come, or null. */
    var lastEvent: Long? = null
        private set

    var attempts = ItemAttempts()

    /** Time before which the item is not tried again. */
    var notBefore: Instant = Instant.DISTANT_PAST

    /** Data of all events. */
    val text: String get() = data.joinToString("\n")

    /** Number of events that have come. */
    val events: Int get() = data.size

    fun add(event: StreamEvent) {
        data += event.data
        lastEvent = event.id ?: lastEvent
    }
}
