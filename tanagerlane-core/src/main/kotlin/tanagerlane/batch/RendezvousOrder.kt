package tanagerlane.batch

private const val MULTIPLIER = -0x61c8864680b583ebL
private const val FIRST_SHIFT = 30
private const val SECOND_SHIFT = 27

/** Orders the chunks of [job] differently for each claimant, so that claimants spread over the chunks. */
public fun rendezvousOrder(
    job: JobKeys,
    chunks: Iterable<Int>,
    claimant: Claimant,
): List<Int> {
    val seed = "${job.headerKey}|${claimant.owner}".hashCode().toLong()
    return chunks.sortedBy { mixBits(seed + it * MULTIPLIER) }
}

/** Mixes the bits of [value] into a hash over the whole range of [Long]. */
internal fun mixBits(value: Long): Long {
    val first = (value xor (value ushr FIRST_SHIFT)) * MULTIPLIER
    val second = (first xor (first ushr SECOND_SHIFT)) * MULTIPLIER
    return second xor (second ushr FIRST_SHIFT)
}
