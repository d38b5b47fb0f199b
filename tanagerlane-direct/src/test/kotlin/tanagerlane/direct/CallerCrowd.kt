package tanagerlane.direct

import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Connections of misbehaving callers that stay open until [close]. */
internal class CallerCrowd(
    size: Int,
    private val door: CallerDoor,
    private val port: Int,
    private val send: CallerCrowd.(Socket) -> Unit,
) : AutoCloseable {
    private val sent = CountDownLatch(size)
    private val sockets = List(size) { Socket().also { it.receiveBufferSize = RECEIVE_BUFFER_BYTES } }

    @Volatile
    private var isClosed = false

    /** Starts all callers and waits until each has sent what it sends, at most [SEND_SECONDS] seconds. */
    fun start() {
        for (socket in sockets) {
            thread(isDaemon = true) {
                try {
                    socket.connect(InetSocketAddress("127.0.0.1", port))
                    send(socket)
                } catch (_: IOException) {
                    // The process may refuse the caller or end its connection.
                } finally {
                    sent.countDown()
                }
            }
        }
        sent.await(SEND_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends [text]. */
    fun Socket.send(text: String): Unit = getOutputStream().run { write(text.toByteArray()) }

    /** Sends [text] a byte at a time until the crowd is closed. */
    fun Socket.sendSlowly(text: String) {
        for (character in text) {
            if (isClosed) return
            send("$character")
            Thread.sleep(PAUSE_MILLISECONDS)
        }
    }

    /** Returns the head of a request with a body; [framing] are its header lines, each with its line end. */
    fun head(framing: String = ""): String =
        "POST ${door.path} HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: c${System.nanoTime()}\r\n" +
            (if (door.hasKey) "Credential: good-key\r\n" else "") + framing + "\r\n"

    /** Sends requests on [socket] until one is not refused with a 503, and leaves the rest of its answer unread. */
    fun sendUntilAnswered(socket: Socket) {
        var current = socket
        while (!isClosed) {
            current.send(head("Content-Length: 0\r\n"))
            val status = String(current.getInputStream().readNBytes(STATUS_LINE_BYTES))
            if (!status.endsWith("503")) return
            Thread.sleep(PAUSE_MILLISECONDS)
            current.getInputStream().skip(current.getInputStream().available().toLong())
        }
    }

    /** Reads a byte at a time until the crowd is closed. */
    fun Socket.readSlowly() {
        while (!isClosed && getInputStream().read() != -1) {
            Thread.sleep(PAUSE_MILLISECONDS)
        }
    }

    override fun close() {
        isClosed = true
        sockets.forEach { it.close() }
    }

    companion object {
        private const val RECEIVE_BUFFER_BYTES = 4_096
        private const val STATUS_LINE_BYTES = 12
        private const val PAUSE_MILLISECONDS = 100L

        /** Time in which callers send, in seconds; a caller whose bytes are not read is still sending afterwards. */
        private const val SEND_SECONDS = 3L
    }
}

/** Where and how misbehaving callers reach a process. */
internal enum class CallerDoor(
    val path: String,
    val hasKey: Boolean = true,
) {
    ROUTE("/calls/1"),
    NO_ROUTE("/none/1"),
    READINESS_ADDRESS("/ready"),
    NO_KEY("/calls/1", hasKey = false),
    BATCH("/jobs/1"),
}
