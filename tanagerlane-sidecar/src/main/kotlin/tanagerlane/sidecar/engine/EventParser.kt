package tanagerlane.sidecar.engine

import tanagerlane.streams.AnswerLimits
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
            bytes.forEach { byte -> accept(byte)?.let(::add) }
        }

    private fun accept(byte: Byte): String? {
        if (isOverlong || eventBytes >= maximumEventBytes) {
            isOverlong = true
            return null
        }
        eventBytes++
        if (byte == LINE_FEED) {
            return endLine()
        }
        line.write(byte.toInt())
        return null
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
        const val LINE_FEED = '\n'.code.toByte()
        const val DATA = "data:"
    }
}
