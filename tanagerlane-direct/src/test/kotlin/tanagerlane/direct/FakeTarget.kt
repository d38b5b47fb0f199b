package tanagerlane.direct

import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import tanagerlane.standin.http.EndlessTarget
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong

/**
 * A target that streams numbered events.
 *
 * @property events number of events of each stream
 * @property pauseMilliseconds time between two events
 * @property eventBytes bytes by which each event is longer than its number needs
 */
internal class FakeTarget(
    private val vertx: Vertx,
    val name: String,
    private val events: Int = 10,
    private val pauseMilliseconds: Long = 5,
    private val eventBytes: Int = 0,
) {
    /** Requests that came, as identity and the event after which they go on. */
    val requests = CopyOnWriteArrayList<String>()

    /** Event after which connections are closed, in the middle of the next one, or null. */
    @Volatile
    var breaksAfter: Int? = null

    /** Status of all answers. */
    @Volatile
    var status = 200

    /** Whether requests are refused as not run. */
    @Volatile
    var refuses = false

    /** Whether requests are taken and never answered. */
    @Volatile
    var isSilent = false

    /** Returns what a request of the given identity gets without end, or null where it gets a stream. */
    @Volatile
    var endless: (id: String) -> EndlessPiece? = { null }

    /** Connections on which bytes without end were begun, with the number sent and whether they were closed. */
    val endlessAnswers = CopyOnWriteArrayList<EndlessAnswer>()

    /** Streams that run now. */
    @Volatile
    var running = 0

    var port = 0
        private set

    suspend fun start(): FakeTarget {
        port =
            vertx
                .createHttpServer()
                .requestHandler(::serve)
                .listen(0, "127.0.0.1")
                .coAwait()
                .actualPort()
        return this
    }

    private fun serve(request: HttpServerRequest) {
        val id = request.getHeader("Attempt-Id")
        val after = request.getHeader("Last-Event-Id")?.toInt() ?: 0
        requests += "$id after $after"
        val response = request.response().putHeader("Attempt-Id", id).putHeader("Server-Stamp", name)
        request.body().onSuccess {
            when {
                isSilent -> Unit
                refuses -> response.putHeader("Not-Run", "1").setStatusCode(503).end()
                status != 200 -> response.setStatusCode(status).end("failed")
                else -> streamOrEndless(id.orEmpty(), response.setChunked(true), after + 1)
            }
        }
    }

    private fun streamOrEndless(
        id: String,
        response: HttpServerResponse,
        first: Int,
    ) {
        val piece = endless(id) ?: return stream(response, first)
        val answer = EndlessAnswer()
        endlessAnswers += answer
        response.closeHandler { answer.isClosed = true }
        response.exceptionHandler { answer.isClosed = true }
        sendEndless(response, piece, answer)
    }

    private fun sendEndless(
        response: HttpServerResponse,
        piece: EndlessPiece,
        answer: EndlessAnswer,
    ) {
        var left = EndlessTarget.PIECES_AT_ONCE
        while (!answer.isClosed && answer.bytes.get() < EndlessTarget.MOST_BYTES) {
            response
                .write(piece.text)
                .onSuccess { answer.bytes.addAndGet(piece.text.length.toLong()) }
                .onFailure { answer.isClosed = true }
            if (piece.pauseMilliseconds != null) {
                vertx.setTimer(piece.pauseMilliseconds) { sendEndless(response, piece, answer) }
                return
            }
            if (response.writeQueueFull()) {
                response.drainHandler { sendEndless(response, piece, answer) }
                return
            }
            if (--left == 0) {
                // Lets the event loop hear of the connection's end.
                vertx.setTimer(1) { sendEndless(response, piece, answer) }
                return
            }
        }
    }

    private fun stream(
        response: HttpServerResponse,
        first: Int,
    ) {
        running++
        response.closeHandler { running-- }
        send(response, first)
    }

    private fun send(
        response: HttpServerResponse,
        number: Int,
    ) {
        val last = breaksAfter
        if (response.closed()) {
            return
        }
        when {
            last != null && number > last -> {
                response.write("id: $number\nda")
                vertx.setTimer(pauseMilliseconds) { response.reset() }
            }

            number > events -> {
                running--
                response.closeHandler(null)
                response.end()
            }

            else -> {
                response.write("id: $number\ndata: event $number${"x".repeat(eventBytes)}\n\n")
                vertx.setTimer(pauseMilliseconds) { send(response, number + 1) }
            }
        }
    }

    /** [text] is sent again and again, at once or with a pause between. */
    data class EndlessPiece(
        val text: String,
        val pauseMilliseconds: Long? = null,
    )

    /** An answer without end. */
    class EndlessAnswer {
        val bytes = AtomicLong()

        @Volatile
        var isClosed = false
    }
}
