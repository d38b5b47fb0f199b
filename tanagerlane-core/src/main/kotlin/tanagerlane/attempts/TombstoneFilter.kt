package tanagerlane.attempts

import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Set of attempts that must not run, in a fixed amount of memory.
 *
 * A Bloom filter with two generations: it forgets no entry within [retention]. When it is overfull it reports false
 * positives, so that new work is refused and no tombstone is lost.
 */
internal class TombstoneFilter(
    private val bits: Int,
    private val retention: Duration,
) {
    private var current = BitSet(bits)
    private var previous = BitSet(bits)
    private var rotateAt = Instant.DISTANT_PAST

    fun add(
        hash: Long,
        now: Instant,
    ) {
        rotate(now)
        positions(hash).forEach(current::set)
    }

    fun contains(
        hash: Long,
        now: Instant,
    ): Boolean {
        rotate(now)
        return positions(hash).all(current::get) || positions(hash).all(previous::get)
    }

    private fun rotate(now: Instant) {
        if (now < rotateAt) {
            return
        }
        previous = if (now < rotateAt + retention) current else BitSet(bits)
        current = BitSet(bits)
        rotateAt = now + retention
    }

    private fun positions(hash: Long): Sequence<Int> {
        val step = (hash ushr Int.SIZE_BITS).toInt() or 1
        return (0 until HASHES).asSequence().map { Math.floorMod(hash.toInt() + it * step, bits) }
    }

    private companion object {
        const val HASHES = 5
    }
}
