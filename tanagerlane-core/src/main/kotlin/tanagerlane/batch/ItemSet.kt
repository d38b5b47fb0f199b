package tanagerlane.batch

import tanagerlane.model.Payload
import java.util.BitSet

/** Returns the items whose bits are set. */
internal fun Payload.toItems(): Set<Int> =
    BitSet
        .valueOf(toByteArray())
        .stream()
        .boxed()
        .toList()
        .toSet()

/** Returns the bit set with the bits of [added] also set. */
internal fun Payload.withItems(added: Collection<Int>): Payload {
    val bits = BitSet.valueOf(toByteArray())
    added.forEach(bits::set)
    return Payload.of(bits.toByteArray())
}

/** Returns the number of items whose bits are set. */
internal fun Payload.itemCount(): Int = BitSet.valueOf(toByteArray()).cardinality()
