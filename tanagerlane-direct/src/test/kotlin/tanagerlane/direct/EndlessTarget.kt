package tanagerlane.direct

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
internal class EndlessTarget(
    private val vertx: Vertx,
    private val mostBytes: Long = MOST_BYTES,
) {
    /** What is sent once, when a request of the given identity has come. */
    @Volatile
    var beginning: (id: String) -> String = { "" }

    /** What is sent again and again after that. */
    @Volatile
    var rest = ""

    /** Time between two pieces, or null where they follow at once. */
    @Volatile
    var pauseMilliseconds: Long? = null

    /** Connections that were made, in order. */
    val connections = CopyOnWriteArrayList<Connection>()

    var port = 0
        private set

    suspend fun start(): EndlessTarget {
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
    class Connection {
        val bytes = AtomicLong()
        val requests = AtomicLong()

        @Volatile
        var isClosed = false
    }

    companion object {
        const val PIECES_AT_ONCE = 64
        const val MOST_BYTES = 96L shl 20
    }
}
