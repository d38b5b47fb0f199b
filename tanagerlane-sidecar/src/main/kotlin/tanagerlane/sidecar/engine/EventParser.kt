package tanagerlane.sidecar.engine

import java.io.ByteArrayOutputStream

/** Splits a stream of server-sent events into their data, whatever pieces the bytes come in. */
internal class EventParser {
    private val line = ByteArrayOutputStream()
    private val data = ArrayList<String>()

    /** Takes in [bytes] and returns the data of the events that they complete. */
    fun accept(bytes: ByteArray): List<String> =
        buildList {
            bytes.forEach { byte -> accept(byte)?.let(::add) }
        }

    private fun accept(byte: Byte): String? =
        if (byte == LINE_FEED) {
            endLine()
        } else {
            line.write(byte.toInt())
            null
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
        return event
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val DATA = "data:"
    }
}
