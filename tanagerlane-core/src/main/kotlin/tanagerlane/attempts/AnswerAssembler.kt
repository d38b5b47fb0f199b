package tanagerlane.attempts

import tanagerlane.message.AnswerFragment
import tanagerlane.model.Payload
import java.util.TreeMap

/** Puts the fragments of one answer in order, without gap or repeat. */
internal class AnswerAssembler(
    private val maximumReorderedBytes: Int,
) {
    /** Bytes of the body that were put in order so far. */
    var received = 0L
        private set

    /** Length of the whole body once it is known. */
    var length: Long? = null

    private val waiting = TreeMap<Long, Payload>()
    private var waitingBytes = 0

    val isComplete: Boolean get() = length == received

    /** Whether bytes are known to be missing. */
    val hasGap: Boolean get() = waiting.isNotEmpty() || length.let { it != null && it != received }

    /** Takes [fragment] in and returns what can now be passed on. */
    fun add(fragment: AnswerFragment): List<Payload> {
        if (fragment.offset > received) {
            hold(fragment)
            return emptyList()
        }
        val ready = ArrayList<Payload>()
        take(fragment.offset, fragment.bytes, ready)
        while (waiting.isNotEmpty() && waiting.firstKey() <= received) {
            val (offset, bytes) = waiting.pollFirstEntry()
            waitingBytes -= bytes.size
            take(offset, bytes, ready)
        }
        return ready
    }

    private fun take(
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

    private fun hold(fragment: AnswerFragment) {
        val known = waiting[fragment.offset]?.size ?: 0
        val added = fragment.bytes.size - known
        if (added <= 0 || waitingBytes + added > maximumReorderedBytes) {
            return
        }
        waiting[fragment.offset] = fragment.bytes
        waitingBytes += added
    }
}
