package tanagerlane.batch

import tanagerlane.model.Payload

/** Returns the count of [item]; an empty payload counts nothing. */
internal fun Payload.countOf(item: Int): Int = if (size == 0) 0 else toByteArray()[item].toInt()

/** Returns the counts of [items] items with those of [raised] one higher. */
internal fun Payload.raised(
    raised: Collection<Int>,
    items: Int,
): Payload {
    if (raised.isEmpty()) {
        return this
    }
    val counts = toByteArray().copyOf(items)
    for (item in raised) {
        counts[item] = minOf(counts[item] + 1, Byte.MAX_VALUE.toInt()).toByte()
    }
    return Payload.of(counts)
}
