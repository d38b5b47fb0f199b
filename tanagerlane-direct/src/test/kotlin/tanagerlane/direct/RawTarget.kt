package tanagerlane.direct

import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * A target that sends answers byte for byte, and ends their connections as it is told.
 *
 * @param readsBodies whether the body of a request is read before it is answered; otherwise it is read after that
 * @param answer returns the answer to a request
 */
internal class RawTarget(
    val name: String,
    private val readsBodies: Boolean = true,
    private val answer: (RawRequest) -> RawAnswer,
) : AutoCloseable {
    private val server =
        ServerSocket().also {
            // Connections take over the size, which can't be lowered once they are open.
            if (!readsBodies) it.receiveBufferSize = UNREAD_BUFFER_BYTES
            it.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG)
        }
    private val sockets = CopyOnWriteArrayList<Socket>()

    val port: Int get() = server.localPort

    /** Number of connections accepted. */
    val connectionCount: Int get() = sockets.size

    init {
        thread(isDaemon = true) { runCatching { while (true) accept(server.accept()) } }
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private fun accept(socket: Socket) {
        sockets += socket
        thread(isDaemon = true) { runCatching { serve(socket) } }
    }

    private fun serve(socket: Socket) {
        while (true) {
            val request = read(socket.getInputStream()) ?: return
            val reply = answer(request)
            val head = "HTTP/1.1 ${reply.status} Status\r\nAttempt-Id: ${request.id}\r\nServer-Stamp: $name\r\n"
            socket.getOutputStream().write((head + reply.rest).toByteArray())
            when (reply.end) {
                ConnectionEnd.NONE -> if (!readsBodies) readLate(socket.getInputStream(), request)
                ConnectionEnd.CLOSE -> return socket.close()
                ConnectionEnd.RESET -> return reset(socket)
            }
        }
    }

    private fun reset(socket: Socket) {
        // A reset discards what the receiver has not read yet.
        Thread.sleep(TIME_TO_READ_MILLISECONDS)
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Returns the next request, or null if the connection has ended. */
    private fun read(input: InputStream): RawRequest? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) {
                return null
            }
            head.append(byte.toChar())
        }
        val headers =
            head.lines().drop(1).filter { ':' in it }.associate {
                it.substringBefore(':').lowercase() to it.substringAfter(':').trim()
            }
        val bodyBytes = headers["content-length"]?.toInt() ?: 0
        if (readsBodies) {
            input.readNBytes(bodyBytes)
        }
        return RawRequest(headers["attempt-id"].orEmpty(), headers["last-event-id"]?.toInt(), bodyBytes)
    }

    private fun readLate(
        input: InputStream,
        request: RawRequest,
    ) {
        Thread.sleep(TIME_TO_READ_MILLISECONDS)
        input.readNBytes(request.bodyBytes)
    }

    /** The request [id]; [resumeAfter] is the event after which its stream resumes, or null. */
    data class RawRequest(
        val id: String,
        val resumeAfter: Int?,
        val bodyBytes: Int,
    )

    /**
     * An answer.
     *
     * @property status status as the status line states it
     * @property rest what follows the id of the request in the head, and the body
     */
    data class RawAnswer(
        val status: String,
        val rest: String,
        val end: ConnectionEnd,
    ) {
        constructor(status: Int, rest: String, end: ConnectionEnd) : this("$status", rest, end)
    }

    /** What happens to a connection after an answer. */
    enum class ConnectionEnd {
        NONE,
        CLOSE,
        RESET,
    }

    companion object {
        private const val BACKLOG = 50

        /** Receive buffer of connections whose requests are not read, 8 KiB, so that writing them takes long. */
        private const val UNREAD_BUFFER_BYTES = 8 shl 10
        private const val TIME_TO_READ_MILLISECONDS = 150L

        /** Returns an answer whose length is stated. */
        fun sized(
            status: Int,
            body: String,
            headers: String = "",
        ): RawAnswer = RawAnswer(status, "${headers}Content-Length: ${body.length}\r\n\r\n$body", ConnectionEnd.NONE)

        /** Returns a complete stream in chunks. */
        fun chunked(body: String): RawAnswer =
            RawAnswer(200, "$STREAM_IN_CHUNKS${chunk(body)}0\r\n\r\n", ConnectionEnd.NONE)

        /** Returns a stream in chunks that lacks its last chunk. */
        fun brokenChunks(
            body: String,
            end: ConnectionEnd = ConnectionEnd.CLOSE,
        ): RawAnswer = RawAnswer(200, STREAM_IN_CHUNKS + chunk(body), end)

        /** Returns an answer with neither a length nor chunks. */
        fun unframed(
            body: String,
            end: ConnectionEnd,
        ): RawAnswer = RawAnswer(200, "Content-Type: text/event-stream\r\n\r\n$body", end)

        private fun chunk(body: String) = if (body.isEmpty()) "" else "${body.length.toString(radix = 16)}\r\n$body\r\n"

        private const val STREAM_IN_CHUNKS = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    }
}
