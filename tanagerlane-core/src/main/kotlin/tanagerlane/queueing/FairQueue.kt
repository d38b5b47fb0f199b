package tanagerlane.queueing

import tanagerlane.model.AttemptId
import tanagerlane.model.WorkspaceName

/**
 * Online entries that wait, by start-time fair queueing among workspaces.
 *
 * A workspace is charged for the tokens of an entry when the entry leaves the queue to run.
 */
internal class FairQueue {
    private val flows = HashMap<WorkspaceName?, Flow>()
    private var virtualTime = 0.0

    /** Entries that wait. */
    var size: Int = 0
        private set

    /** Entries of [workspace] that wait. */
    fun size(workspace: WorkspaceName?): Int = flows[workspace]?.waiting?.size ?: 0

    /** Entries that are likely to start before a new one of [workspace], if all cost the same. */
    fun ahead(workspace: WorkspaceName?): Int {
        val own = size(workspace)
        return own + flows.filterKeys { it != workspace }.values.sumOf { minOf(own + 1, it.waiting.size) }
    }

    fun add(waiting: WaitingEntry) {
        val flow = flows.getOrPut(waiting.entry.workspace) { Flow(virtualTime) }
        if (flow.waiting.isEmpty()) {
            flow.startTag = maxOf(flow.startTag, virtualTime)
        }
        flow.waiting.addLast(waiting)
        size += 1
    }

    /** Returns the entry whose turn it is. */
    fun peek(): WaitingEntry? = next()?.waiting?.first()

    /** Removes the entry whose turn it is and charges its workspace. */
    fun take(): WaitingEntry {
        val flow = checkNotNull(next()) { "no entry waits" }
        val taken = flow.waiting.removeFirst()
        virtualTime = maxOf(virtualTime, flow.startTag)
        flow.startTag += charge(taken.entry, taken.entry.tokens)
        size -= 1
        forgetIdleFlows()
        return taken
    }

    /** Gives back what [entry] was charged for [tokens] that it did not use. */
    fun refund(
        entry: QueueEntry,
        tokens: Int,
    ) {
        flows[entry.workspace]?.let { it.startTag -= charge(entry, tokens) }
    }

    fun remove(id: AttemptId): WaitingEntry? = removeAll { it.entry.id == id }.firstOrNull()

    /** Removes the entries for which [condition] holds and returns them. */
    fun removeAll(condition: (WaitingEntry) -> Boolean): List<WaitingEntry> {
        val removed = flows.values.flatMap { flow -> flow.waiting.filter(condition) }
        if (removed.isNotEmpty()) {
            flows.values.forEach { flow -> flow.waiting.removeAll(condition) }
            size -= removed.size
        }
        return removed.sortedBy { it.sequence }
    }

    private fun next(): Flow? =
        flows.values
            .filter { it.waiting.isNotEmpty() }
            .minWithOrNull(compareBy({ it.startTag }, { it.waiting.first().sequence }))

    private fun charge(
        entry: QueueEntry,
        tokens: Int,
    ): Double = tokens.toDouble() / entry.weight

    private fun forgetIdleFlows() {
        flows.values.removeIf { it.waiting.isEmpty() && it.startTag <= virtualTime }
    }

    private class Flow(
        var startTag: Double,
    ) {
        val waiting = ArrayDeque<WaitingEntry>()
    }
}
