package tanagerlane.direct

import io.vertx.core.Promise
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/**
 * A target that holds requests whose id begins with `held`, before the head of the answer or in the middle of it, and
 * answers all others, and those that resume a stream, at once.
 *
 * @param holdsBody whether the first events are sent before a request is held
 * @param fill number of filler bytes in each event of a request that may be held
 */
internal class HeldTarget(
    private val vertx: Vertx,
    private val holdsBody: Boolean,
    private val fill: Int = 0,
) {
    /** Ids of the requests received, in the order of their arrival. */
    val requests = CopyOnWriteArrayList<String>()
    var port = 0
        private set
    private val gate = Promise.promise<Unit>()
    private val connections = ConcurrentHashMap.newKeySet<HttpConnection>()
    private lateinit var server: HttpServer

    suspend fun start(): HeldTarget {
        server = vertx.createHttpServer().connectionHandler { connections += it }.requestHandler(::serve)
        port = server.listen(0, "127.0.0.1").coAwait().actualPort()
        return this
    }

    /** Goes on with the requests that are held, and holds no more. */
    fun release() {
        gate.tryComplete()
    }

    /** Ends all connections and refuses new ones. */
    suspend fun crash() {
        server.close().coAwait()
        connections.forEach { it.close() }
    }

    private fun serve(request: HttpServerRequest) {
        val id = request.getHeader("Attempt-Id").orEmpty()
        requests += id
        val first = (request.getHeader("Last-Event-Id")?.toInt() ?: 0) + 1
        val response =
            request
                .response()
                .putHeader("Attempt-Id", id)
                .putHeader("Server-Stamp", "t")
                .setChunked(true)
        val isHeld = id.startsWith("held")
        request.body().onSuccess {
            when {
                !isHeld -> end(response, first, fill = 0)
                first > 1 -> end(response, first, fill)
                holdsBody -> holdInBody(response)
                else -> gate.future().onSuccess { end(response, first, fill) }
            }
        }
    }

    private fun holdInBody(response: HttpServerResponse) {
        response.write(events(1..EVENTS / 2, fill))
        gate.future().onSuccess { end(response, EVENTS / 2 + 1, fill) }
    }

    private fun end(
        response: HttpServerResponse,
        first: Int,
        fill: Int,
    ) {
        if (!response.closed()) response.end(events(first..EVENTS, fill))
    }

    private fun events(
        numbers: IntRange,
        fill: Int,
    ): Buffer = Buffer.buffer(numbers.joinToString("") { "id: $it\ndata: ${"x".repeat(fill)}\n\n" })

    companion object {
        /** Number of events of each answer. */
        const val EVENTS = 20
    }
}
