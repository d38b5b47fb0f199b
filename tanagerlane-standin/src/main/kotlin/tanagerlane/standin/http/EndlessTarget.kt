package tanagerlane.standin.http

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong

/**
 * A target that sends bytes without end, as fast as they are taken, until its caller closes the connection.
 *
 * @property mostBytes bytes after which it falls silent, so that a caller who takes everything does not fill the machine
 */
public class EndlessTarget(
    private val vertx: Vertx,
    private val mostBytes: Long = MOST_BYTES,
) {
    /** Returns what is sent once, when a request of the given identity has come. */
    @Volatile
    public var beginning: (id: String) -> String = { "" }

    /** What is sent again and again after that. */
    @Volatile
    public var rest: String = ""

    /** Time between two pieces, or null where they follow at once. */
    @Volatile
    public var pauseMilliseconds: Long? = null

    /** Connections that were made, in order. */
    public val connections: CopyOnWriteArrayList<Connection> = CopyOnWriteArrayList<Connection>()

    /** Port that it listens on, once started. */
    public var port: Int = 0
        private set

    /** Base URL, once started. */
    public val url: String get() = "http://127.0.0.1:$port"

    /** Listens on any free port. */
    public suspend fun start(): EndlessTarget {
        port =
            vertx
                .createNetServer()
                .connectHandler(::serve)
                .listen(0, "127.0.0.1")
                .coAwait()
                .actualPort()
        return this
    }

    private fun serve(socket: NetSocket) {
        val connection = Connection()
        connections += connection
        socket.closeHandler { connection.isClosed = true }
        socket.exceptionHandler { connection.isClosed = true }
        var received = ""
        socket.handler { piece ->
            received += piece.toString()
            if (received.contains("\r\n\r\n") && connection.requests.get() == 0L) {
                connection.requests.incrementAndGet()
                val id = received.substringAfter("Attempt-Id: ", "r1").substringBefore("\r\n")
                write(socket, connection, Buffer.buffer(beginning(id)))
                send(socket, connection, Buffer.buffer(rest))
            }
        }
    }

    private fun send(
        socket: NetSocket,
        connection: Connection,
        piece: Buffer,
    ) {
        val pause = pauseMilliseconds
        var left = PIECES_AT_ONCE
        while (!connection.isClosed && connection.bytes.get() < mostBytes && piece.length() > 0) {
            write(socket, connection, piece)
            if (pause != null) {
                vertx.setTimer(pause) { send(socket, connection, piece) }
                return
            }
            if (socket.writeQueueFull()) {
                socket.drainHandler { send(socket, connection, piece) }
                return
            }
            if (--left == 0) {
                // Lets the event loop hear of the connection's end.
                vertx.setTimer(1) { send(socket, connection, piece) }
                return
            }
        }
    }

    private fun write(
        socket: NetSocket,
        connection: Connection,
        piece: Buffer,
    ) {
        socket
            .write(piece)
            .onSuccess { connection.bytes.addAndGet(piece.length().toLong()) }
            .onFailure { connection.isClosed = true }
    }

    /** A connection that was made to the target. */
    public class Connection {
        /** Bytes that were sent. */
        public val bytes: AtomicLong = AtomicLong()

        /** Requests that came. */
        public val requests: AtomicLong = AtomicLong()

        /** Whether the caller has closed it. */
        @Volatile
        public var isClosed: Boolean = false
    }

    public companion object {
        /** Pieces that are written before the event loop has a turn. */
        public const val PIECES_AT_ONCE: Int = 64

        /** Bytes after which a target falls silent where no other number is given. */
        public const val MOST_BYTES: Long = 96L shl 20
    }
}
