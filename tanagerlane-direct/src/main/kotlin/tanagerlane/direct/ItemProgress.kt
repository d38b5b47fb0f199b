package tanagerlane.direct

import org.slf4j.LoggerFactory
import tanagerlane.joblog.ItemAttempts
import tanagerlane.joblog.RawItem
import tanagerlane.joblog.SavedEvent
import tanagerlane.joblog.SavedProgress
import tanagerlane.joblog.TextSize
import tanagerlane.model.SoftwareVersion
import tanagerlane.model.TargetName
import tanagerlane.streams.AnswerBudget
import tanagerlane.streams.AnswerLimits
import tanagerlane.streams.StreamEvent
import kotlin.time.Instant

/**
 * Events received for one item, accumulated over all its runs at targets of one software version.
 *
 * @param budget budget for all unfinished answers; if this one is ended on its account, all events are removed
 */
internal class ItemProgress(
    val item: RawItem,
    private val budget: AnswerBudget = AnswerBudget(Long.MAX_VALUE),
) {
    private val received = ArrayList<SavedEvent>()
    private var receivedBytes = 0L
    private var share: AnswerBudget.Share? = null
    private val failedAt = HashSet<TargetName>()
    private var runVersion: SoftwareVersion? = null
    private var hasAdvanced = false

    /** Software version of the target that sent the first event, or null if there is no event. */
    var version: SoftwareVersion? = null
        private set

    /** Targets that can continue after the last event, or null if the next run starts at the beginning anyway. */
    val continuationRule: ContinuationRule?
        get() = if (lastEvent == null) null else version?.let { ContinuationRule(it, failedAt.toSet()) }

    /** Number of the last numbered event received, or null if there is none. */
    val lastEvent: Long? get() = received.lastOrNull { it.number != null }?.number

    /** Number of events that are saved on the local disk. */
    var savedEventCount = 0
        private set

    /** Number of times that all events were removed; events with different numbers belong to different runs. */
    var generation = 0
        private set

    /** Size in bytes at which the events of the current run were rejected and removed, or null. */
    var rejectedBytes: Long? = null
        private set

    /**
     * Number of events that may be saved: all but the newest, so that a resumed run always has an event to receive.
     *
     * Without a number none may be saved, since no run can be resumed after them.
     */
    val savableEventCount: Int get() = if (lastEvent == null) 0 else received.size - 1

    /** Runs that ended with an error. */
    var attempts = ItemAttempts()
        private set

    /** Time before which the item is not started again. */
    var notBefore: Instant = Instant.DISTANT_PAST

    /** Data of all events, one event a line. */
    val text: String get() = received.joinToString("\n") { it.data }

    /** Whether an event with a number or with data was received; text that is no event has neither. */
    val hasContent: Boolean get() = received.any { it.number != null || it.data.isNotEmpty() }

    /** Number of events received. */
    val eventCount: Int get() = received.size

    /**
     * Prepares for a run at a target of [next]: removes all events if they are of another version.
     *
     * Returns how the run goes on, or null if there is no event after which it could.
     */
    fun continueAt(next: SoftwareVersion): ItemContinuation? {
        val isContinuable = lastEvent != null
        if (version == next) {
            return if (isContinuable) ItemContinuation.CONTINUED else null
        }
        if (isContinuable) {
            logger.info("item starts anew item={} version={} next={} events={}", item.id, version, next, eventCount)
        }
        clear()
        return if (isContinuable) ItemContinuation.VERSION_GONE else null
    }

    /** Called before each run at a target of [version]. */
    fun runStarts(version: SoftwareVersion) {
        rejectedBytes = null
        hasAdvanced = false
        runVersion = version
        continueAt(version)
    }

    /** Called after each run; the text is not continued at a [target] whose run failed without a further event. */
    fun runEnded(
        target: TargetName,
        ending: ItemEnding,
    ) {
        if (ending == ItemEnding.FAILED) {
            attempts = attempts.copy(failures = attempts.failures + 1)
        }
        if (!hasAdvanced && (ending == ItemEnding.FAILED || ending == ItemEnding.BROKEN)) {
            failedAt += target
        }
    }

    /**
     * Adds [event] and returns true, or returns false if the events exceed [MAXIMUM_BYTES] or the budget.
     *
     * Then all events are removed, and no more are added before the next run.
     */
    fun add(event: StreamEvent): Boolean {
        if (rejectedBytes != null) {
            return false
        }
        val size = sizeOf(event.data)
        if (receivedBytes + size > MAXIMUM_BYTES) {
            reject(receivedBytes)
            return false
        }
        if (received.isEmpty()) {
            version = runVersion
        }
        received += SavedEvent(event.id, event.data)
        hasAdvanced = true
        failedAt.clear()
        hold(size)
        return rejectedBytes == null
    }

    /** Removes all events; without a number, no run can be resumed after them. */
    fun clear() {
        received.clear()
        version = null
        failedAt.clear()
        receivedBytes = 0
        savedEventCount = 0
        generation++
        share?.close()
        share = null
    }

    /** Takes the events out of the budget: they are complete, so that they only wait to be listed. */
    fun completed() {
        share?.close()
    }

    /** Removes the newest event, unless it is saved, so that the next run has an event to receive. */
    fun dropNewest() {
        if (received.size > savedEventCount) {
            hold(-sizeOf(received.removeLast().data))
        }
    }

    /** Adds the events that an earlier process saved with their version, unless events were already received. */
    fun restore(saved: SavedProgress) {
        if (received.isEmpty() && saved.version != null) {
            version = saved.version
            received += saved.events
            hold(saved.events.sumOf { sizeOf(it.data) })
        }
    }

    /** Returns the events that may be saved, starting at index [first]. */
    fun savableFrom(first: Int): List<SavedEvent> = received.subList(first, savableEventCount).toList()

    /** Records that the first [count] events of [generation] are saved. */
    fun recordSaved(
        count: Int,
        generation: Int,
    ) {
        if (generation == this.generation) {
            savedEventCount = count
        }
    }

    private fun hold(bytes: Long) {
        receivedBytes += bytes
        (share ?: budget.open(::reject).also { share = it }).add(bytes)
    }

    private fun reject(bytes: Long) {
        rejectedBytes = bytes
        clear()
    }

    private fun sizeOf(data: String): Long = TextSize.utf8(data).toLong() + AnswerLimits.EVENT_OVERHEAD_BYTES

    companion object {
        /** Maximum size of the events of one item in bytes; the same limit as for a buffered answer. */
        const val MAXIMUM_BYTES = AnswerLimits.MAXIMUM_ANSWER_BYTES.toLong()
        private val logger = LoggerFactory.getLogger(ItemProgress::class.java)
    }
}
