package tanagerlane.batch

/** Most bytes of items in one chunk. */
public const val MAXIMUM_CHUNK_BYTES: Int = 512 * 1024

private const val SMALLEST_CHUNK_ITEMS = 8
private const val LARGEST_CHUNK_ITEMS = 256
private const val CHUNKS_OF_ONE_SIZE = 32

/**
 * Returns the most items of the chunk with number [chunk].
 *
 * The first chunks are small, so that a small job spreads over many hosts; later ones grow, so that a large job
 * needs few objects. The number of items need not be known beforehand.
 */
public fun maximumChunkItems(chunk: Int): Int {
    require(chunk >= 0) { "chunk must not be negative: $chunk" }
    val doublings = minOf(chunk / CHUNKS_OF_ONE_SIZE, Int.SIZE_BITS / 2)
    return minOf(SMALLEST_CHUNK_ITEMS shl doublings, LARGEST_CHUNK_ITEMS)
}
