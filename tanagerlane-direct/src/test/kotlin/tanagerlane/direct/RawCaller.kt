package tanagerlane.direct

import java.net.Socket
import java.net.SocketTimeoutException

/** Sends one request on a connection of its own and reports what exactly comes back. */
internal object RawCaller {
    private const val READ_TIMEOUT_MILLISECONDS = 8_000
    private const val LAST_CHUNK = "0\r\n\r\n"
    private val chunkSize = Regex("([0-9a-f]+)\r\n")

    /** Returns the answer, or null if the connection ends or falls silent before the head of one. */
    fun send(
        port: Int,
        path: String,
        id: String,
        headers: String = "",
        body: String = "",
        method: String = "POST",
        host: String = "localhost",
        key: String? = "good-key",
    ): ReceivedAnswer? =
        Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MILLISECONDS
            val head =
                "$method $path HTTP/1.1\r\nHost: $host\r\nAttempt-Id: $id\r\n" +
                    key?.let { "Credential: $it\r\n" }.orEmpty() +
                    "${headers}Content-Length: ${body.length}\r\n\r\n$body"
            socket.getOutputStream().write(head.toByteArray())
            receive(socket)
        }

    private fun receive(socket: Socket): ReceivedAnswer? {
        val text = StringBuilder()
        while (true) {
            val answer = decode(text.toString())
            val byte = if (answer?.isWhole == true) END else read(socket)
            if (byte == END) {
                return answer
            }
            text.append(byte.toChar())
        }
    }

    private fun read(socket: Socket): Int =
        try {
            socket.getInputStream().read()
        } catch (_: SocketTimeoutException) {
            END
        }

    private fun decode(text: String): ReceivedAnswer? {
        if (!text.contains("\r\n\r\n")) {
            return null
        }
        val head = text.substringBefore("\r\n\r\n").lowercase()
        val status = head.substringAfter(' ').substringBefore(' ').toInt()
        val body = text.substringAfter("\r\n\r\n")
        val length =
            head
                .lines()
                .firstOrNull { it.startsWith("content-length:") }
                ?.substringAfter(':')
                ?.trim()
        return if (length != null) {
            ReceivedAnswer(status, body, isWhole = body.length == length.toInt())
        } else {
            ReceivedAnswer(status, contentOf(body), isWhole = body == LAST_CHUNK || body.endsWith("\r\n$LAST_CHUNK"))
        }
    }

    private fun contentOf(chunks: String): String {
        val content = StringBuilder()
        var rest = chunks
        while (true) {
            val size = chunkSize.matchAt(rest, 0) ?: return content.toString()
            val length = size.groupValues[1].toInt(radix = 16)
            rest = rest.substring(size.value.length)
            content.append(rest.take(length))
            rest = rest.drop(length + 2)
        }
    }

    private const val END = -1

    /** An answer; [isWhole] is whether its end arrived. */
    data class ReceivedAnswer(
        val status: Int,
        val body: String,
        val isWhole: Boolean,
    )
}
