package tanagerlane.standin.engine

/** Least recently used cache of prompt prefixes in whole blocks. */
internal class PrefixCache(
    private val maximumBlocks: Int,
) {
    private val blocks = LinkedHashMap<Int, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val recent = ArrayDeque<CacheEvent>()
    private var changes = 0L

    /** The most recent changes, oldest first. */
    val events: List<CacheEvent> get() = recent.toList()

    /** Stores the blocks of [prompt] and returns how many of its leading tokens were held already. */
    fun admit(prompt: List<String>): Int {
        var digest = 0
        var held = 0
        var unbroken = true
        prompt.windowed(EngineSettings.BLOCK_TOKENS, EngineSettings.BLOCK_TOKENS).forEach { block ->
            digest = DIGEST_FACTOR * digest + block.hashCode()
            unbroken = blocks.get(digest) != null && unbroken
            if (unbroken) held += EngineSettings.BLOCK_TOKENS else store(digest)
        }
        return held
    }

    private fun store(digest: Int) {
        if (blocks.put(digest, Unit) == null) {
            record(CacheEvent.Kind.STORED, digest)
        }
        if (blocks.size > maximumBlocks) {
            val oldest = blocks.keys.first()
            blocks.remove(oldest)
            record(CacheEvent.Kind.EVICTED, oldest)
        }
    }

    private fun record(
        kind: CacheEvent.Kind,
        digest: Int,
    ) {
        changes += 1
        recent.addLast(CacheEvent(changes, kind, digest.toUInt().toString(HEXADECIMAL)))
        if (recent.size > MAXIMUM_EVENTS) {
            recent.removeFirst()
        }
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
        const val DIGEST_FACTOR = 31
        const val HEXADECIMAL = 16
        const val MAXIMUM_EVENTS = 10_000
    }
}
