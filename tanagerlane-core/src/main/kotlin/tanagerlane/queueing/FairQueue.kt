package tanagerlane.queueing

import tanagerlane.model.AttemptId
import tanagerlane.model.WorkspaceName

/**
 * Waiting online entries, in the order of start-time fair queueing among workspaces.
 *
 * A workspace is charged for the tokens of an entry when the entry is taken from the queue to run.
 */
internal class FairQueue {
    private val flows = HashMap<WorkspaceName?, Flow>()
    private var virtualTime = 0.0

    /** Number of waiting entries. */
    var size: Int = 0
        private set

    /** Returns the number of waiting entries of [workspace]. */
    fun size(workspace: WorkspaceName?): Int = flows[workspace]?.waiting?.size ?: 0

    /** Estimates how many entries start before a new one of [workspace], assuming that all cost the same. */
    fun entriesAhead(workspace: WorkspaceName?): Int {
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

    /** Returns the next entry in fair order, or null when none waits. */
    fun peek(): WaitingEntry? = next()?.waiting?.first()

    /** Removes the next entry in fair order and charges its workspace. */
    fun take(): WaitingEntry {
        val flow = checkNotNull(next()) { "fair queue is empty" }
        val taken = flow.waiting.removeFirst()
        virtualTime = maxOf(virtualTime, flow.startTag)
        flow.startTag += charge(taken.entry, taken.entry.tokens)
        size -= 1
        forgetIdleFlows()
        return taken
    }

    /** Refunds the charge for [tokens] that [entry] did not use. */
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
