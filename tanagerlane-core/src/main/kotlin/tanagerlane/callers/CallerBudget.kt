package tanagerlane.callers

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Budget for the bytes that a process holds for all connections of callers. Thread-safe.
 *
 * While they are over the budget, the largest connection whose caller makes no progress is ended. If those without progress do
 * not hold enough, it is one whose request has not arrived and which alone holds enough, else the largest answer whose caller
 * pauses, else the largest of all. So small requests, and those that wait for this process, are ended last.
 *
 * @param maximumBytes size of the budget in bytes
 * @param stallTime time without progress after which a connection counts as making none
 * @param readStallTime the same for one whose caller has to read an answer, which would be cut
 */
public class CallerBudget(
    public val maximumBytes: Long,
    private val stallTime: Duration = STALL_TIME,
    private val readStallTime: Duration = READ_STALL_TIME,
) {
    private val lock = Any()
    private val shares = LinkedHashSet<Share>()
    private var total = 0L

    /** Bytes that are held at present. */
    public val heldBytes: Long get() = synchronized(lock) { total }

    /**
     * Returns the share of a connection, which holds nothing yet.
     *
     * @param wait what the connection waits for; it does not count as stalled while its caller waits for an answer
     * @param onExceeded called once if the connection is ended, with the bytes that it held; it must let go of them
     */
    public fun open(
        now: Instant,
        wait: () -> CallerWait = { CallerWait.REQUEST },
        onExceeded: (bytes: Long) -> Unit,
    ): Share = Share(now, wait, onExceeded).also { synchronized(lock) { shares += it } }

    /**
     * Returns whether [bytes] more can be held, after it has ended connections without progress that stand in the way.
     *
     * @param requester share for which the room is needed; it is not ended
     */
    public fun makeRoom(
        bytes: Long,
        requester: Share,
        now: Instant,
    ): Boolean {
        val excess = ArrayList<Pair<Share, Long>>()
        val hasRoom =
            synchronized(lock) {
                if (total + bytes <= maximumBytes) {
                    return true
                }
                val others = shares.filter { it !== requester && it.isStalled(now) }
                val stalled = others.sortedByDescending { it.bytes }.iterator()
                val reclaimable = others.sumOf { it.bytes }
                if (total - reclaimable + bytes <= maximumBytes) {
                    while (total + bytes > maximumBytes) {
                        excess += end(stalled.next())
                    }
                    true
                } else {
                    false
                }
            }
        excess.forEach { (share, held) -> share.onExceeded(held) }
        return hasRoom
    }

    private fun takeExcess(now: Instant): List<Pair<Share, Long>> {
        val excess = ArrayList<Pair<Share, Long>>()
        while (total > maximumBytes) {
            excess += end(candidates(now).maxBy { it.bytes })
        }
        return excess
    }

    private fun candidates(now: Instant): Collection<Share> {
        val stalled = shares.filter { it.isStalled(now) }
        if (total - stalled.sumOf { it.bytes } <= maximumBytes) {
            return stalled
        }
        val sending = shares.filter { it.wait() == CallerWait.REQUEST && it.bytes >= total - maximumBytes }
        val pausing = shares.filter { it.wait() == CallerWait.READING && it.bytes > 0 && it.pause(now) >= stallTime }
        val waiting = shares.filter { it.wait() != CallerWait.ANSWER }
        return listOf(sending, pausing, waiting).firstOrNull { it.isNotEmpty() } ?: shares
    }

    private fun end(share: Share): Pair<Share, Long> {
        val held = share.bytes
        share.remove()
        return share to held
    }

    /** What the process holds of one connection. */
    public inner class Share internal constructor(
        now: Instant,
        internal val wait: () -> CallerWait,
        internal val onExceeded: (bytes: Long) -> Unit,
    ) {
        internal var progressAt = now
            private set

        internal var bytes = 0L
            private set

        /** Records that the connection holds [held] bytes, and that bytes moved if it [hasProgressed]. */
        public fun update(
            held: Long,
            hasProgressed: Boolean,
            now: Instant,
        ) {
            val excess =
                synchronized(lock) {
                    if (this !in shares) {
                        return
                    }
                    if (hasProgressed) {
                        progressAt = now
                    }
                    total += held - bytes
                    bytes = held
                    takeExcess(now)
                }
            excess.forEach { (share, held) -> share.onExceeded(held) }
        }

        internal fun isStalled(now: Instant): Boolean =
            bytes > 0 &&
                when (wait()) {
                    CallerWait.ANSWER -> false
                    CallerWait.REQUEST -> pause(now) >= stallTime
                    CallerWait.READING -> pause(now) >= readStallTime
                }

        /** Time without progress. */
        internal fun pause(now: Instant): Duration = now - progressAt

        /** Gives all bytes back. */
        public fun close() {
            synchronized(lock) { remove() }
        }

        internal fun remove() {
            if (shares.remove(this)) {
                total -= bytes
                bytes = 0
            }
        }
    }

    public companion object {
        /** Longer than the pauses of a caller that sends steadily over a slow link. */
        private val STALL_TIME = 500.milliseconds

        /** Longer than the pause of a caller that does not read for a second or so and then goes on. */
        private val READ_STALL_TIME = 2.seconds

        /** With a quarter of a heap of 128 MiB, a crowd brought a process to 200 MiB resident, with an eighth to 157 MiB. */
        private const val HEAP_PER_BUDGET = 8

        /** Returns the default size of the budget for a heap of [heapBytes]. */
        public fun defaultBytes(heapBytes: Long): Long = heapBytes / HEAP_PER_BUDGET
    }
}
