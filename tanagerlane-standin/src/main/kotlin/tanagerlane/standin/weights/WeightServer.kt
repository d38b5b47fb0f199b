package tanagerlane.standin.weights

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import tanagerlane.standin.http.ReceivedCall
import tanagerlane.standin.http.TargetFaults
import tanagerlane.standin.http.TargetServer
import tanagerlane.standin.http.answerFailure
import kotlin.time.Duration.Companion.milliseconds

/**
 * A store of model weights that sends [bytesPerSecond] for each download.
 *
 * @property sizes bytes of each weight file by name; their content is zeros
 */
public class WeightServer(
    vertx: Vertx,
    private val sizes: Map<String, Int>,
    private val bytesPerSecond: Int = BYTES_PER_SECOND,
) {
    private val server = TargetServer(vertx)

    /** Faults in force; may be changed at any time. */
    public var faults: TargetFaults by server::faults

    /** The most recent calls, oldest first. */
    public val calls: List<ReceivedCall> get() = server.calls

    init {
        server.handle(routes = { it.get("/weights/:name") }, answer = ::download)
    }

    /** Listens on the loopback address at [port], any port where it is 0, and returns the port. */
    public suspend fun start(port: Int): Int = server.start(port)

    /** Stops listening and drops what runs. */
    public suspend fun stop(): Unit = server.stop()

    private suspend fun download(routing: RoutingContext) {
        val size =
            sizes[routing.pathParam("name").orEmpty()]
                ?: return routing.answerFailure(NOT_FOUND, "not_found", "no such weights")
        val response = routing.response().putHeader("content-length", size.toString())
        val piece = maxOf(1, bytesPerSecond / PIECES_PER_SECOND)
        for (offset in 0 until size step piece) {
            response.write(Buffer.buffer(ByteArray(minOf(piece, size - offset)))).coAwait()
            delay(PIECE_INTERVAL)
        }
        response.end()
    }

    private companion object {
        const val BYTES_PER_SECOND = 1 shl 26
        const val PIECES_PER_SECOND = 100
        val PIECE_INTERVAL = 10.milliseconds
        const val NOT_FOUND = 404
    }
}
