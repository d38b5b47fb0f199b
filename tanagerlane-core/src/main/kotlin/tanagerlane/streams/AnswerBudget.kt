package tanagerlane.streams

/**
 * Budget for the bytes that a process holds of all unfinished answers of targets. Thread-safe.
 *
 * While they are over the budget, the largest answer is ended. An answer without end grows into that place, however
 * many small answers are under way.
 *
 * @param maximumBytes size of the budget in bytes
 */
public class AnswerBudget(
    private val maximumBytes: Long,
) {
    private val lock = Any()
    private val shares = HashSet<Share>()
    private var total = 0L
    private var ended = 0L

    /** Bytes that are held at present. */
    public val heldBytes: Long get() = synchronized(lock) { total }

    /** Number of answers that were ended because the budget was exceeded. */
    public val endedAnswers: Long get() = synchronized(lock) { ended }

    /**
     * Returns the share of an answer, which holds nothing yet.
     *
     * @param onExceeded called once if the answer is ended, with the bytes that it held; it must let go of them
     */
    public fun open(onExceeded: (bytes: Long) -> Unit): Share =
        Share(onExceeded).also { synchronized(lock) { shares += it } }

    /** Ends the largest answers until the others are within the budget; returns each with the bytes that it held. */
    private fun takeExcess(): List<Pair<Share, Long>> {
        val excess = ArrayList<Pair<Share, Long>>()
        while (total > maximumBytes) {
            val largest = shares.maxBy { it.bytes }
            excess += largest to largest.bytes
            largest.remove()
            ended++
        }
        return excess
    }

    /** What the process holds of one answer. */
    public inner class Share internal constructor(
        private val onExceeded: (bytes: Long) -> Unit,
    ) {
        internal var bytes = 0L
            private set

        /** Adds [count] bytes, or removes them if it is negative; does nothing once the share is closed. */
        public fun add(count: Long) {
            val excess =
                synchronized(lock) {
                    if (this !in shares) {
                        return
                    }
                    bytes += count
                    total += count
                    takeExcess()
                }
            excess.forEach { (share, bytes) -> share.onExceeded(bytes) }
        }

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
}
