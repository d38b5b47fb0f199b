package tanagerlane.sidecar.engine

import tanagerlane.streams.AnswerLimits
import java.io.ByteArrayOutputStream

/**
 * Splits a stream of server-sent events into their data, whatever pieces the bytes come in.
 *
 * @param maximumEventBytes most bytes of one event
 */
internal class EventParser(
    private val maximumEventBytes: Int = AnswerLimits.MAXIMUM_EVENT_BYTES,
) {
    private val line = ByteArrayOutputStream()
    private val data = ArrayList<String>()
    private var eventBytes = 0

    /** Whether an event went over its most bytes; nothing comes out from then on. */
    var isOverlong = false
        private set

    /** Whether bytes of an unfinished event have come. */
    val isInsideEvent: Boolean get() = eventBytes > 0

    /** Takes in [bytes] and returns the data of the events that they complete. */
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
