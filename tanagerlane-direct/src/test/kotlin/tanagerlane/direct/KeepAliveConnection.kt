package tanagerlane.direct

import java.io.InputStream
import java.net.Socket

/** A caller's connection that is reused for several requests until the server closes it. */
internal class KeepAliveConnection(
    port: Int,
) : AutoCloseable {
    private val socket = Socket("127.0.0.1", port).apply { soTimeout = READ_TIMEOUT_MILLISECONDS }

    /** Sends a request and returns the status of the answer, or null if no complete answer arrives. */
    fun send(
        path: String,
        id: String,
    ): Int? =
        runCatching {
            val head =
                "POST $path HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: $id\r\nCredential: good-key\r\n" +
                    "Content-Length: 0\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            answer(socket.getInputStream())
        }.getOrNull()

    override fun close(): Unit = socket.close()

    private fun answer(input: InputStream): Int? {
        val head = readTo(input, "\r\n\r\n") ?: return null
        val length = Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE).find(head)?.groupValues?.get(1)
        val isWhole =
            if (length != null) {
                input.readNBytes(length.toInt()).size == length.toInt()
            } else {
                readTo(input, "\r\n0\r\n\r\n") != null
            }
        return head
            .substringAfter(' ')
            .take(STATUS_DIGITS)
            .toInt()
            .takeIf { isWhole }
    }

    /** Returns the text up to and including [end], or null if the connection ends first. */
    private fun readTo(
        input: InputStream,
        end: String,
    ): String? {
        val text = StringBuilder()
        while (!text.endsWith(end)) {
            val byte = input.read()
            if (byte < 0) {
                return null
            }
            text.append(byte.toChar())
        }
        return text.toString()
    }

    private companion object {
        const val READ_TIMEOUT_MILLISECONDS = 20_000
        const val STATUS_DIGITS = 3
    }
}
