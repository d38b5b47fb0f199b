package tanagerlane.direct

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import tanagerlane.standin.http.EndlessTarget
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.TimeSource

/**
 * A target that streams numbered events.
 *
 * @property events number of events of each stream
 * @property pauseMilliseconds time between two events, in milliseconds
 * @property version version of its software, which its registration names and each of its events ends with
 * @property eventFill number of filler characters added to each event
 * @property filler the filler character
 * @property restartMilliseconds time from a crash until the target listens again, in milliseconds
 * @property listenerMilliseconds time for which the target still accepts connections after a crash, in milliseconds
 */
internal class FakeTarget(
    private val vertx: Vertx,
    val name: String,
    private val events: Int = 10,
    private val pauseMilliseconds: Long = 5,
    private val eventFill: Int = 0,
    private val restartMilliseconds: Long = 500,
    private val listenerMilliseconds: Long = 0,
    private val filler: String = "x",
    val version: String = "",
) {
    /** Requests received, each as its id and the event after which its stream resumes. */
    val requests = CopyOnWriteArrayList<String>()

    /** Workspaces of the requests received, or null for each request without one. */
    val workspaces = CopyOnWriteArrayList<String?>()

    /** Event after which streams are cut off, in the middle of the next event, or null. */
    @Volatile
    var breaksAfter: Int? = null

    /** Status of all answers. */
    @Volatile
    var status = 200

    /** Whether requests are refused with the header `Not-Run`. */
    @Volatile
    var refuses = false

    /** Whether requests are read but never answered. */
    @Volatile
    var isSilent = false

    /** Part of a prompt on which the target crashes once it begins to answer, or null. */
    @Volatile
    var crashesOn: String? = null

    /** Returns how the run of a request ends early, or null if the request is answered. */
    @Volatile
    var endsEarly: (FakeRun) -> EarlyEnd? = { null }

    /** Runs of requests, in the order in which their bodies were complete. */
    val runs = CopyOnWriteArrayList<FakeRun>()

    /** Crashes; connections are refused for [restartMilliseconds] after each. */
    val crashed = CopyOnWriteArrayList<FakeCrash>()
    val crashes: Int get() = crashed.size

    /** Returns the piece that is sent endlessly to the request with the given id, or null if it gets a stream. */
    @Volatile
    var endless: (id: String) -> EndlessPiece? = { null }

    /** Endless answers that were started, with the number of bytes sent and whether the connection was closed. */
    val endlessAnswers = CopyOnWriteArrayList<EndlessAnswer>()

    /** Number of streams in progress. */
    @Volatile
    var running = 0

    var port = 0
        private set

    @Volatile
    private var server: HttpServer? = null

    @Volatile
    private var isDown = false
    private val crashing = CopyOnWriteArrayList<FakeRun>()

    suspend fun start(): FakeTarget {
        port = listen().coAwait().actualPort()
        return this
    }

    private fun listen(): Future<HttpServer> =
        vertx
            .createHttpServer()
            .requestHandler(::serve)
            .listen(port, "127.0.0.1")
            .onSuccess { server = it }

    /**
     * Ends all connections and refuses new ones until the target has restarted; does nothing while it is down.
     *
     * @param connection connection that ends first
     */
    fun crash(connection: HttpConnection? = null) {
        if (isDown) {
            return
        }
        isDown = true
        crashed += FakeCrash(crashing.toList(), TimeSource.Monotonic.markNow())
        crashing.clear()
        connection?.close()
        if (listenerMilliseconds == 0L) server?.close() else vertx.setTimer(listenerMilliseconds) { server?.close() }
        vertx.setTimer(restartMilliseconds) { listen().onSuccess { isDown = false } }
    }

    private fun serve(request: HttpServerRequest) {
        val id = request.getHeader("Attempt-Id")
        val after = request.getHeader("Last-Event-Id")?.toInt() ?: 0
        requests += "$id after $after"
        workspaces += request.getHeader("Tenant")
        val response = request.response().putHeader("Attempt-Id", id).putHeader("Server-Stamp", name)
        val parts =
            request
                .getHeader("Prompt-Prefix")
                .orEmpty()
                .split(',')
                .map { it.substringBefore(':') }
        request.body().onSuccess { body ->
            val run = FakeRun(request.path().orEmpty(), body.toString(), request.getHeader("Tenant"))
            runs += run
            val end = if (crashesOn in parts) EarlyEnd(events = 0, delayMilliseconds = 1) else endsEarly(run)
            when {
                end != null -> endEarly(run, end, request, after + 1)
                isSilent -> Unit
                refuses -> response.putHeader("Not-Run", "1").setStatusCode(503).end()
                status != 200 -> response.setStatusCode(status).end("failed")
                else -> answerRequest(id.orEmpty(), response.setChunked(true), after + 1)
            }
        }
    }

    private fun endEarly(
        run: FakeRun,
        end: EarlyEnd,
        request: HttpServerRequest,
        first: Int,
    ) {
        val response = request.response().setChunked(true)
        if (end.events != null) {
            response.writeHead()
            repeat(end.events) { response.write("id: ${first + it}\ndata: event\n\n") }
            if (end.isInsideEvent) response.write("id: ${first + end.events}\nda")
        }
        if (end.kind == EndKind.CRASH) crashing += run
        vertx.setTimer(end.delayMilliseconds) {
            when (end.kind) {
                EndKind.CRASH -> {
                    crash(request.connection())
                }

                EndKind.CUT -> {
                    request.connection().close()
                }

                EndKind.LATE_ANSWER -> {
                    if (end.isInsideEvent) response.write("ta: event\n\n")
                    stream(response, first + (end.events ?: 0) + if (end.isInsideEvent) 1 else 0)
                }
            }
        }
    }

    private fun answerRequest(
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
        var remaining = EndlessTarget.PIECES_AT_ONCE
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
            if (--remaining == 0) {
                // Yields, so that the event loop can process the end of the connection.
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
                val suffix = if (version.isEmpty()) "" else " $version"
                response.write("id: $number\ndata: event $number${filler.repeat(eventFill)}$suffix\n\n")
                vertx.setTimer(pauseMilliseconds) { send(response, number + 1) }
            }
        }
    }

    /** A request whose body is complete; [workspace] is the one that the target was told. */
    data class FakeRun(
        val path: String,
        val body: String,
        val workspace: String?,
        val at: TimeSource.Monotonic.ValueTimeMark = TimeSource.Monotonic.markNow(),
    )

    /** A crash; [runs] are those that cause one and were in progress. */
    data class FakeCrash(
        val runs: List<FakeRun>,
        val at: TimeSource.Monotonic.ValueTimeMark,
    )

    /**
     * How a run ends before its answer is whole.
     *
     * @property events number of events sent before it ends, or null if not even the head is sent
     * @property delayMilliseconds time from there to the end, in milliseconds
     * @property isInsideEvent whether the first bytes of another event are sent
     */
    data class EarlyEnd(
        val events: Int? = null,
        val delayMilliseconds: Long = 50,
        val kind: EndKind = EndKind.CRASH,
        val isInsideEvent: Boolean = false,
    )

    enum class EndKind {
        CRASH,

        /** Only the connection of the request is closed. */
        CUT,

        /** The rest of the answer is sent after a silence. */
        LATE_ANSWER,
    }

    /** [text] is sent repeatedly, without a pause or every [pauseMilliseconds]. */
    data class EndlessPiece(
        val text: String,
        val pauseMilliseconds: Long? = null,
    )
}
