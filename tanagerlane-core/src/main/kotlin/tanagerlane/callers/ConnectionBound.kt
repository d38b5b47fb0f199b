package tanagerlane.callers

import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Decides which connections are kept when callers open more than [maximum]. */
public class ConnectionBound(
    public val maximum: Int,
) {
    /**
     * Returns the connection to close when one more than [maximum] is open, or null for the newest.
     *
     * It is the oldest one on which nothing was ever sent for a while, since no sound caller loses by that.
     *
     * @param unused connections on which nothing was sent, each with the time at which it was opened
     */
    public fun <C> victim(
        unused: Iterable<Pair<C, Instant>>,
        now: Instant,
    ): C? = unused.filter { (_, openedAt) -> now - openedAt >= UNUSED_TIME }.minByOrNull { it.second }?.first

    public companion object {
        /** Time in which a caller that is about to send a request has done so. */
        private val UNUSED_TIME = 1.seconds

        /** Descriptors that are kept for targets, the store, other processes, files and readiness checks. */
        private const val MINIMUM_RESERVE = 512L
        private const val DESCRIPTORS_PER_RESERVE = 4

        /** Heap for each connection, so that open connections alone can't fill the heap. */
        private const val HEAP_PER_CONNECTION = 65_536
        private const val MINIMUM = 16L

        /** Returns the default bound for a process with [descriptors] and a heap of [heapBytes]. */
        public fun defaultMaximum(
            descriptors: Long,
            heapBytes: Long,
        ): Int {
            val reserve = maxOf(MINIMUM_RESERVE, descriptors / DESCRIPTORS_PER_RESERVE)
            val byDescriptors = descriptors - reserve
            return minOf(
                byDescriptors,
                heapBytes / HEAP_PER_CONNECTION,
            ).coerceIn(MINIMUM, Int.MAX_VALUE.toLong()).toInt()
        }
    }
}
