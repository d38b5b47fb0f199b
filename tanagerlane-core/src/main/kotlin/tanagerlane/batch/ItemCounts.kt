package tanagerlane.batch

import tanagerlane.model.Payload

/** Returns the count of [item]; in an empty payload every count is 0. */
internal fun Payload.countOf(item: Int): Int = if (size == 0) 0 else toByteArray()[item].toInt()

/** Returns the counts of [items] items with those of [incrementedItems] raised by one, up to [Byte.MAX_VALUE]. */
internal fun Payload.incremented(
    incrementedItems: Collection<Int>,
    items: Int,
): Payload {
    if (incrementedItems.isEmpty()) {
        return this
    }
    val counts = toByteArray().copyOf(items)
    for (item in incrementedItems) {
        counts[item] = minOf(counts[item] + 1, Byte.MAX_VALUE.toInt()).toByte()
    }
    return Payload.of(counts)
}
