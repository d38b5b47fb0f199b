package tanagerlane.streams

import tanagerlane.model.Payload
import java.io.ByteArrayOutputStream

/**
 * Splits a byte stream into complete events, regardless of how its bytes are divided into pieces. Not thread-safe.
 *
 * An event truncated by a broken connection is never returned, so that a stream can be resumed after the last complete
 * event.
 *
 * @param maximumEventBytes maximum size of one event in bytes
 */
public class EventAssembler(
    private val maximumEventBytes: Int = AnswerLimits.MAXIMUM_EVENT_BYTES,
) {
    private val event = ByteArrayOutputStream()
    private var isLineEmpty = true

    /** Whether an event exceeded the maximum size; no events are returned from then on. */
    public var isOverlong: Boolean = false
        private set

    /** Whether bytes of an unfinished event are buffered. */
    public val isInsideEvent: Boolean get() = event.size() > 0

    /** Bytes of an unfinished event that are buffered. */
    public val bufferedBytes: Int get() = event.size()

    /** Adds [bytes] and returns the events that they complete. */
    public fun accept(bytes: ByteArray): List<StreamEvent> {
        val events = ArrayList<StreamEvent>()
        var start = 0
        while (start < bytes.size && !isOverlong) {
            val end = LineEnds.endOfLine(bytes, start)
            acceptLine(bytes, start, end)?.let(events::add)
            start = end
        }
        return events
    }

    /** Adds the bytes of one line, or of a part of it, up to [end]; returns the event that they complete, or null. */
    private fun acceptLine(
        bytes: ByteArray,
        start: Int,
        end: Int,
    ): StreamEvent? {
        val length = minOf(end - start, maximumEventBytes - event.size())
        event.write(bytes, start, length)
        if (length < end - start) {
            isOverlong = true
            return null
        }
        val isEnded = bytes[end - 1] == LineEnds.LINE_FEED
        val isBlank = isLineEmpty && isBlank(bytes, start, end)
        isLineEmpty = isEnded || isBlank
        if (!isEnded || !isBlank) {
            return null
        }
        return eventOf(event.toByteArray()).also { event.reset() }
    }

    private fun isBlank(
        bytes: ByteArray,
        start: Int,
        end: Int,
    ): Boolean = (start until end).all { bytes[it] == LineEnds.LINE_FEED || bytes[it] == CARRIAGE_RETURN }

    private fun eventOf(bytes: ByteArray): StreamEvent {
        val lines = bytes.decodeToString().lineSequence().toList()
        return StreamEvent(
            id = lines.lastOrNull { it.startsWith(ID) }?.let { valueOf(it, ID).toLongOrNull() },
            data = lines.filter { it.startsWith(DATA) }.joinToString("\n") { valueOf(it, DATA) },
            bytes = Payload.of(bytes),
        )
    }

    private fun valueOf(
        line: String,
        field: String,
    ): String = line.removePrefix(field).removePrefix(" ").removeSuffix("\r")

    private companion object {
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val ID = "id:"
        const val DATA = "data:"
    }
}
