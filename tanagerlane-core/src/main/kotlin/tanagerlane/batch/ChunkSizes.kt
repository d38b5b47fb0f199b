package tanagerlane.batch

/** Maximum size of the items of one chunk, in bytes. */
public const val MAXIMUM_CHUNK_BYTES: Int = 512 * 1024

private const val SMALLEST_CHUNK_ITEMS = 8
private const val LARGEST_CHUNK_ITEMS = 256
private const val CHUNKS_PER_SIZE = 32

/**
 * Returns the maximum number of items of the chunk with number [chunk].
 *
 * The first chunks are small, so that a small job is spread over many hosts. Later ones are larger, so that a large job
 * needs few objects. The number of items does not have to be known in advance.
 */
public fun maximumChunkItems(chunk: Int): Int {
    require(chunk >= 0) { "chunk must not be negative: $chunk" }
    val doublings = minOf(chunk / CHUNKS_PER_SIZE, Int.SIZE_BITS / 2)
    return minOf(SMALLEST_CHUNK_ITEMS shl doublings, LARGEST_CHUNK_ITEMS)
}
