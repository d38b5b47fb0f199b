package tanagerlane.direct

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.CopyOnWriteArrayList

/**
 * A target that writes streams piece by piece, with a pause before each piece.
 *
 * @param version version of its software, with which each of its events ends
 * @param pace returns the pieces of the given event of the request with the given id
 */
internal class PausingTarget(
    private val vertx: Vertx,
    val name: String,
    val version: String = "",
    private val pace: (id: String, event: Event) -> List<Piece> = { _, event -> listOf(Piece(event.text)) },
) {
    /** Ids of the requests received, in the order of their arrival. */
    val requests = CopyOnWriteArrayList<String>()
    var port = 0
        private set

    suspend fun start(): PausingTarget {
        val server = vertx.createHttpServer().requestHandler(::serve).listen(0, "127.0.0.1")
        port = server.coAwait().actualPort()
        return this
    }

    private fun serve(request: HttpServerRequest) {
        val id = request.getHeader("Attempt-Id").orEmpty()
        requests += id
        val received = request.getHeader("Last-Event-Id")?.toInt() ?: 0
        val pieces = events(version).drop(received).flatMap { pace(id, it) }
        val response = request.response().putHeader("Attempt-Id", id).putHeader("Server-Stamp", name)
        request.body().onSuccess { send(response.setChunked(true), pieces.iterator()) }
    }

    private fun send(
        response: HttpServerResponse,
        pieces: Iterator<Piece>,
    ) {
        if (!pieces.hasNext()) {
            response.end()
            return
        }
        val piece = pieces.next()
        vertx.setTimer(piece.pauseMilliseconds) {
            if (!response.closed()) {
                response.write(piece.text)
                send(response, pieces)
            }
        }
    }

    /** The event [number] of a stream, of which [text] is all bytes. */
    data class Event(
        val number: Int,
        val text: String,
    )

    /** Bytes that are written [pauseMilliseconds] after those before. */
    data class Piece(
        val text: String,
        val pauseMilliseconds: Long = 5,
    )

    companion object {
        private const val EVENTS = 10

        /** Returns all events of a stream of [version], with the text that [FakeTarget] gives them. */
        fun events(version: String): List<Event> =
            (1..EVENTS).map { Event(it, "id: $it\ndata: ${"event $it $version".trim()}\n\n") }
    }
}
