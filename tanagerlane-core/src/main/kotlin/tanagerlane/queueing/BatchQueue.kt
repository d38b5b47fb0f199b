package tanagerlane.queueing

import tanagerlane.model.AttemptId
import java.util.TreeSet

/** Waiting batch entries, ordered by deadline, then by arrival. */
internal class BatchQueue {
    private val waiting = TreeSet<WaitingEntry>(compareBy({ it.entry.deadline }, { it.sequence }))

    val size: Int get() = waiting.size

    fun add(entry: WaitingEntry) {
        waiting.add(entry)
    }

    fun peek(): WaitingEntry? = waiting.firstOrNull()

    fun take(): WaitingEntry = checkNotNull(waiting.pollFirst()) { "batch queue is empty" }

    fun remove(id: AttemptId): WaitingEntry? = removeAll { it.entry.id == id }.firstOrNull()

    /** Removes the entries for which [condition] holds and returns them. */
    fun removeAll(condition: (WaitingEntry) -> Boolean): List<WaitingEntry> {
        val removed = waiting.filter(condition)
        waiting.removeAll(removed.toSet())
        return removed
    }
}
