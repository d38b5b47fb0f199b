package tanagerlane.attempts

import tanagerlane.message.AnswerFragment
import tanagerlane.model.Payload
import java.util.TreeMap

/** Reassembles the fragments of one answer in order, without gaps or duplicates. */
internal class AnswerAssembler(
    private val maximumReorderedBytes: Int,
) {
    /** Length in bytes of the contiguous part of the body received so far. */
    var received = 0L
        private set

    /** Length of the whole body in bytes, or null until it is known. */
    var length: Long? = null

    private val reordered = TreeMap<Long, Payload>()
    private var reorderedBytes = 0

    val isComplete: Boolean get() = length == received

    /** Whether bytes are known to be missing. */
    val hasGap: Boolean get() = reordered.isNotEmpty() || length.let { it != null && it != received }

    /** Adds [fragment] and returns the bytes that can now be forwarded in order. */
    fun add(fragment: AnswerFragment): List<Payload> {
        if (fragment.offset > received) {
            buffer(fragment)
            return emptyList()
        }
        val ready = ArrayList<Payload>()
        append(fragment.offset, fragment.bytes, ready)
        while (reordered.isNotEmpty() && reordered.firstKey() <= received) {
            val (offset, bytes) = reordered.pollFirstEntry()
            reorderedBytes -= bytes.size
            append(offset, bytes, ready)
        }
        return ready
    }

    private fun append(
        offset: Long,
        bytes: Payload,
        ready: MutableList<Payload>,
    ) {
        val skipped = (received - offset).toInt()
        if (skipped >= bytes.size) {
            return
        }
        ready += if (skipped == 0) bytes else Payload.of(bytes.toByteArray().copyOfRange(skipped, bytes.size))
        received = offset + bytes.size
    }

    private fun buffer(fragment: AnswerFragment) {
        val bufferedSize = reordered[fragment.offset]?.size ?: 0
        val added = fragment.bytes.size - bufferedSize
        if (added <= 0 || reorderedBytes + added > maximumReorderedBytes) {
            return
        }
        reordered[fragment.offset] = fragment.bytes
        reorderedBytes += added
    }
}
