package tanagerlane.direct

import tanagerlane.joblog.ItemAttempts
import tanagerlane.joblog.RawItem
import tanagerlane.joblog.SavedEvent
import tanagerlane.streams.AnswerLimits
import tanagerlane.streams.StreamEvent
import kotlin.time.Instant

/** What has come of one item so far; kept over all its runs. */
internal class ItemProgress(
    val item: RawItem,
) {
    private val received = ArrayList<SavedEvent>()
    private var bytes = 0L

    /** Number of the last event that has come, or null. */
    val lastEvent: Long? get() = received.lastOrNull { it.number != null }?.number

    /** Number of events that are on the local disk. */
    var savedEvents = 0

    /** Number of events that may be saved: without the newest, so that a resumed run always has one to bring. */
    val savable: Int get() = (received.size - 1).coerceAtLeast(0)

    var attempts = ItemAttempts()

    /** Time before which the item is not tried again. */
    var notBefore: Instant = Instant.DISTANT_PAST

    /** Data of all events. */
    val text: String get() = received.joinToString("\n") { it.data }

    /** Number of events that have come. */
    val events: Int get() = received.size

    /** Adds [event] and returns true, or returns false where the item would be over [MAXIMUM_BYTES]. */
    fun add(event: StreamEvent): Boolean {
        val cost = costOf(event.data)
        if (bytes + cost > MAXIMUM_BYTES) {
            return false
        }
        bytes += cost
        received += SavedEvent(event.id, event.data)
        return true
    }

    /** Takes over [events] of an earlier process, where none have come yet. */
    fun restore(events: List<SavedEvent>) {
        if (received.isEmpty()) {
            received += events
            bytes = events.sumOf { costOf(it.data) }
        }
    }

    /** Returns the savable events from position [first] on. */
    fun savedFrom(first: Int): List<SavedEvent> = received.subList(first, savable).toList()

    private fun costOf(data: String): Long = data.length.toLong() + AnswerLimits.EVENT_OVERHEAD_BYTES

    companion object {
        /** Most bytes that the events of one item take up, as for an answer that is kept whole. */
        const val MAXIMUM_BYTES = AnswerLimits.MAXIMUM_ANSWER_BYTES.toLong()
    }
}
