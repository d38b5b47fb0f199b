package tanagerlane.direct

/**
 * Ids of the requests that a connection has sent.
 *
 * Only hashes are kept, so another id may seem to be contained, but none that was added is missing.
 */
internal class SentRequests {
    private var hashes = IntArray(INITIAL_CAPACITY)
    private var size = 0

    /** Whether no more ids can be added. */
    val isFull: Boolean get() = size == MAXIMUM

    /** Adds [id]; at most [MAXIMUM] ids can be added. */
    fun add(id: String) {
        check(!isFull) { "a connection cannot remember more than $MAXIMUM requests: $id" }
        if (size == hashes.size) {
            hashes = hashes.copyOf(minOf(size * 2, MAXIMUM))
        }
        hashes[size++] = id.hashCode()
    }

    /** Whether [id] may have been added. */
    operator fun contains(id: String): Boolean {
        val hash = id.hashCode()
        return (0 until size).any { hashes[it] == hash }
    }

    companion object {
        /** Requests after which a connection is closed, 4 KiB of hashes. */
        const val MAXIMUM = 1024
        private const val INITIAL_CAPACITY = 8
    }
}
