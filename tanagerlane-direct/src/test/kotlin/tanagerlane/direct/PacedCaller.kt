package tanagerlane.direct

import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket

/** A caller that decides when it sends the pieces of its requests, and when it reads the answers. */
internal class PacedCaller(
    address: InetSocketAddress,
) : AutoCloseable {
    private val socket =
        Socket().apply {
            receiveBufferSize = RECEIVE_BUFFER_BYTES
            connect(address)
            soTimeout = READ_TIMEOUT_MILLISECONDS
            tcpNoDelay = true
        }
    private val input = socket.getInputStream().buffered()

    /** Sends [text]; returns whether the connection was open. */
    fun send(text: String): Boolean = runCatching { socket.getOutputStream().write(text.toByteArray()) }.isSuccess

    /** Reads the next answer, or returns null if the connection ends or falls silent before its head is complete. */
    fun receive(): Answer? = runCatching { read() }.getOrNull()

    override fun close(): Unit = socket.close()

    private fun read(): Answer? {
        val head = input.readTo("\r\n\r\n")?.lowercase() ?: return null
        val length =
            Regex("content-length: (\\d+)")
                .find(head)
                ?.groupValues
                ?.get(1)
                ?.toInt()
        val isWhole = runCatching { if (length == null) skipChunks() else input.readNBytes(length).size == length }
        return Answer(head.substringAfter(' ').take(STATUS_DIGITS).toInt(), isWhole.getOrDefault(false))
    }

    private fun skipChunks(): Boolean {
        while (true) {
            val size = input.readTo("\r\n")?.trim()?.toInt(radix = 16) ?: return false
            if (input.readNBytes(size).size < size || input.readTo("\r\n") == null) return false
            if (size == 0) return true
        }
    }

    private fun InputStream.readTo(end: String): String? {
        val text = StringBuilder()
        while (!text.endsWith(end)) {
            val byte = read()
            if (byte < 0) return null
            text.append(byte.toChar())
        }
        return text.toString()
    }

    /** An answer; [isWhole] is whether its end arrived. */
    data class Answer(
        val status: Int,
        val isWhole: Boolean,
    )

    private companion object {
        const val RECEIVE_BUFFER_BYTES = 65_536
        const val READ_TIMEOUT_MILLISECONDS = 14_000
        const val STATUS_DIGITS = 3
    }
}
