package tanagerlane.direct

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import tanagerlane.direct.RawTarget.RawAnswer
import tanagerlane.direct.RawTarget.RawRequest
import tanagerlane.model.Payload
import tanagerlane.store.ObjectKey
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.milliseconds

/**
 * Two targets that answer the first, second and later requests with an id as told, whichever of them receives these.
 *
 * @param readsBodies whether the targets read the bodies of requests
 */
internal class ScriptedTargets(
    readsBodies: Boolean = true,
) : AutoCloseable {
    private val scripts = ConcurrentHashMap<String, (number: Int, RawRequest) -> RawAnswer>()
    private val requests = ConcurrentHashMap<String, MutableList<RawRequest>>()
    private val targets = List(2) { RawTarget("t${it + 1}", readsBodies, ::answer) }

    /** Number of connections accepted by both targets. */
    val connectionCount: Int get() = targets.sumOf { it.connectionCount }

    /** Sets the answers to requests with [id]; [script] receives the number of the request, starting with 1. */
    fun script(
        id: String,
        script: (number: Int, RawRequest) -> RawAnswer,
    ) {
        scripts[id] = script
    }

    /** Returns the requests with [id] that were received. */
    fun requests(id: String): List<RawRequest> = requests[id].orEmpty()

    /** Registers the targets in [deployment]. */
    suspend fun register(deployment: FakeDeployment): Unit =
        targets.forEach { deployment.store.put(ObjectKey("targets/${it.name}"), Payload.of("${it.port}"), null) }

    /** Sends a request, again while the entry refuses it as overloaded before any target has received it. */
    suspend fun call(
        port: Int,
        path: String,
        id: String,
        body: String = "",
    ): RawCaller.ReceivedAnswer? {
        repeat(MAXIMUM_SENDS) {
            val answer = withContext(Dispatchers.IO) { RawCaller.send(port, path, id, body = body) }
            if (answer?.status != REFUSED || requests(id).isNotEmpty()) return answer
            delay(PAUSE)
        }
        error("refused $MAXIMUM_SENDS times: $path $id")
    }

    override fun close(): Unit = targets.forEach { it.close() }

    private fun answer(request: RawRequest): RawAnswer {
        val received = requests.computeIfAbsent(request.id) { CopyOnWriteArrayList() }
        received += request
        return scripts.getValue(request.id)(received.size, request)
    }

    companion object {
        private const val REFUSED = 503
        private const val MAXIMUM_SENDS = 20
        private val PAUSE = 100.milliseconds

        /** Number of events of a complete stream. */
        const val EVENTS = 5

        /** Returns the events with [numbers]. */
        fun events(numbers: IntRange): String = numbers.joinToString("") { "id: $it\ndata: event $it\n\n" }

        /** Returns the answer of a correct target: the events after the last one that [request] names. */
        fun rest(request: RawRequest): RawAnswer = RawTarget.chunked(events((request.resumeAfter ?: 0) + 1..EVENTS))

        /** Wrong answers to a request to resume after event 2, with the last event that correctly continues the stream. */
        val WRONG_ANSWERS: Map<String, Pair<RawAnswer, Int>> =
            listOf(400, 404, 422, 429, 500, 503).associate { "$it" to (error(it) to 2) } +
                mapOf(
                    "503 with Not-Run" to (error(503, "Not-Run: 1\r\n") to 2),
                    "421" to (error(421) to 2),
                    "200 with text" to (error(200) to 2),
                    "200 with JSON" to (RawTarget.sized(200, """{"error":1}""") to 2),
                    "200 with an empty body" to (RawTarget.sized(200, "") to 2),
                    "an empty stream" to (RawTarget.chunked("") to 2),
                    "an event without a number" to (RawTarget.chunked("data: x\n\n" + events(3..EVENTS)) to 2),
                    "a stream from the start" to (RawTarget.chunked(events(1..EVENTS)) to 2),
                    "a stream from the last event" to (RawTarget.chunked(events(2..EVENTS)) to 2),
                    "a stream that skips the next event" to (RawTarget.chunked(events(4..EVENTS)) to 2),
                    "a stream that skips a later event" to (RawTarget.chunked(events(3..3) + events(5..5)) to 3),
                    "a stream that repeats an event" to (RawTarget.chunked(events(3..4) + events(4..EVENTS)) to 4),
                    "another break" to (RawTarget.brokenChunks(events(3..4)) to 4),
                )

        private fun error(
            status: Int,
            headers: String = "",
        ) = RawTarget.sized(status, "error text\n\n", headers)
    }
}
