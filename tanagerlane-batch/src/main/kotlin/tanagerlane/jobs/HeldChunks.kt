package tanagerlane.jobs

/** The chunks that a worker holds, in the order of their claims. */
internal class HeldChunks {
    private val lock = Any()
    private var holders = emptyList<ChunkHolder>()

    val size: Int get() = all().size

    fun all(): List<ChunkHolder> = synchronized(lock) { holders }

    fun add(holder: ChunkHolder) {
        synchronized(lock) { holders = holders + holder }
    }

    fun remove(holder: ChunkHolder) {
        synchronized(lock) { holders = holders - holder }
    }
}
