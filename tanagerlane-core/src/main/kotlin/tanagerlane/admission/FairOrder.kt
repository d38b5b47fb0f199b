package tanagerlane.admission

import tanagerlane.model.WorkspaceName
import java.util.TreeMap
import java.util.TreeSet

/**
 * Waiting requests in the order in which they are sent: by priority, within a priority by start-time fair queueing
 * between workspaces, and within a workspace by the time at which they are due.
 *
 * Adding, removing and taking a request costs the logarithm of their number. Not thread-safe.
 */
internal class FairOrder {
    private val levels = TreeMap<Int, Level>()

    var size = 0
        private set

    fun add(request: WaitingRequest) {
        levels.getOrPut(request.priority) { Level() }.add(request)
        size++
    }

    /** Removes [request]; returns false if it was not there. */
    fun remove(request: WaitingRequest): Boolean {
        val isRemoved = levels[request.priority]?.remove(request) ?: false
        if (isRemoved) size--
        return isRemoved
    }

    operator fun contains(request: WaitingRequest): Boolean = levels[request.priority]?.contains(request) ?: false

    /**
     * Returns the next request, or null if there is none.
     *
     * @param isBelowFloor whether a priority or a workspace is served too seldom and so precedes the others
     */
    fun peek(isBelowFloor: (Any?) -> Boolean): WaitingRequest? {
        val busy = levels.filterValues { !it.isEmpty }
        val first = busy.entries.firstOrNull()?.value ?: return null
        busy.values.firstNotNullOfOrNull { it.peekWorkspace(isBelowFloor) }?.let { return it }
        val level = busy.entries.firstOrNull { it.value !== first && isBelowFloor(it.key) }?.value ?: first
        return level.peek()
    }

    /** Removes [request], which is sent to a target, and charges its workspace for it; does nothing if it is not here. */
    fun take(request: WaitingRequest) {
        if (request in this) {
            levels.getValue(request.priority).charge(request)
            remove(request)
        }
    }

    /** Estimates how many requests are sent before [request], whether it is in this order or not. */
    fun countAhead(request: WaitingRequest): Int =
        levels.headMap(request.priority).values.sumOf { it.size } + (levels[request.priority]?.countAhead(request) ?: 0)

    private class Level {
        private val flows = HashMap<WorkspaceName?, Flow>()
        private val busy = TreeSet(compareBy<Flow>({ it.startTag }, { it.number }))
        private var virtualTime = 0.0
        private var flowCount = 0L

        var size = 0
            private set

        val isEmpty: Boolean get() = size == 0

        fun add(request: WaitingRequest) {
            val flow = flows.getOrPut(request.workspace) { Flow(flowCount++, virtualTime) }
            if (flow.waiting.isEmpty()) {
                flow.startTag = maxOf(flow.startTag, virtualTime)
                busy.add(flow)
            }
            flow.waiting.add(request)
            size++
        }

        operator fun contains(request: WaitingRequest): Boolean =
            flows[request.workspace]?.waiting?.contains(request) ?: false

        fun remove(request: WaitingRequest): Boolean {
            val flow = flows[request.workspace] ?: return false
            if (!flow.waiting.remove(request)) {
                return false
            }
            size--
            if (flow.waiting.isEmpty()) {
                busy.remove(flow)
                if (flow.startTag <= virtualTime) flows.remove(request.workspace)
            }
            if (isEmpty) {
                // An old lead must not hold a workspace back in the next shortage.
                flows.values.forEach { it.startTag = minOf(it.startTag, virtualTime + KEPT_LEAD) }
            }
            return true
        }

        fun charge(request: WaitingRequest) {
            val flow = flows.getValue(request.workspace)
            virtualTime = maxOf(virtualTime, flow.startTag)
            busy.remove(flow)
            flow.startTag += 1 / request.weight
            busy.add(flow)
        }

        fun peek(): WaitingRequest? = busy.firstOrNull()?.waiting?.first()

        fun peekWorkspace(isBelowFloor: (Any?) -> Boolean): WaitingRequest? =
            busy.firstOrNull { isBelowFloor(it.waiting.first().workspace) }?.waiting?.first()

        /** The cost grows with the number of workspaces that have requests waiting, not with that of requests. */
        fun countAhead(request: WaitingRequest): Int {
            val own = flows[request.workspace]
            val ownAhead = own?.waiting?.headSet(request)?.size ?: 0
            val startTag = maxOf(own?.startTag ?: 0.0, virtualTime) + ownAhead / request.weight
            return ownAhead + busy.sumOf { if (it === own) 0 else it.countBefore(startTag) }
        }
    }

    private class Flow(
        val number: Long,
        var startTag: Double,
    ) {
        val waiting = TreeSet(compareBy<WaitingRequest>({ it.dueAt }, { it.number }))

        fun countBefore(tag: Double): Int {
            val weight = waiting.first().weight
            return ((tag - startTag) * weight + 1).toInt().coerceIn(0, waiting.size)
        }
    }

    private companion object {
        /** Most by which a workspace stays ahead of the others once nothing waits, in requests of weight 1. */
        const val KEPT_LEAD = 2.0
    }
}
