package tanagerlane.sidecar.engine

import tanagerlane.streams.AnswerLimits
import tanagerlane.streams.LineEnds
import java.io.ByteArrayOutputStream

/**
 * Extracts the data of server-sent events from a byte stream, regardless of how its bytes are divided into pieces.
 *
 * @param maximumEventBytes maximum size of one event in bytes
 */
internal class EventParser(
    private val maximumEventBytes: Int = AnswerLimits.MAXIMUM_EVENT_BYTES,
) {
    private val line = ByteArrayOutputStream()
    private val data = ArrayList<String>()
    private var eventBytes = 0

    /** Whether an event exceeded the maximum size; no events are returned from then on. */
    var isOverlong = false
        private set

    /** Whether bytes of an unfinished event have been received. */
    val isInsideEvent: Boolean get() = eventBytes > 0

    /** Adds [bytes] and returns the data of the events that they complete. */
    fun accept(bytes: ByteArray): List<String> =
        buildList {
            var start = 0
            while (start < bytes.size && !isOverlong) {
                val end = LineEnds.endOfLine(bytes, start)
                acceptLine(bytes, start, end)?.let(::add)
                start = end
            }
        }

    /** Adds the bytes of one line, or of a part of it, up to [end]. */
    private fun acceptLine(
        bytes: ByteArray,
        start: Int,
        end: Int,
    ): String? {
        if (end - start > maximumEventBytes - eventBytes) {
            isOverlong = true
            return null
        }
        eventBytes += end - start
        val isEnded = bytes[end - 1] == LineEnds.LINE_FEED
        line.write(bytes, start, if (isEnded) end - start - 1 else end - start)
        return if (isEnded) endLine() else null
    }

    private fun endLine(): String? {
        val text = line.toString(Charsets.UTF_8).removeSuffix("\r")
        line.reset()
        if (text.startsWith(DATA)) {
            data.add(text.removePrefix(DATA).removePrefix(" "))
        }
        return if (text.isEmpty()) endEvent() else null
    }

    private fun endEvent(): String? {
        val event = data.joinToString("\n").takeIf { data.isNotEmpty() }
        data.clear()
        eventBytes = 0
        return event
    }

    private companion object {
        const val DATA = "data:"
    }
}
