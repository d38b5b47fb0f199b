package tanagerlane.sidecar.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import tanagerlane.message.ChatWork
import tanagerlane.message.Offer
import tanagerlane.model.AttemptId
import tanagerlane.model.ModelName
import tanagerlane.model.Payload
import tanagerlane.model.RequestClass
import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import java.net.Socket
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Guards against answers that are joined from runs of two versions of an engine's software. */
class JoinedVersionsTest :
    FunSpec({
        data class Case(
            val began: String?,
            val continued: String?,
            val startsAnew: Boolean,
            val told: Told = Told.ALWAYS,
        )
        listOf(
            Case(began = "v1", continued = "v1.1", startsAnew = true),
            Case(began = "v1", continued = "v1.1", startsAnew = true, told = Told.FIRST),
            Case(began = "v1", continued = null, startsAnew = true),
            Case(began = null, continued = "v1.1", startsAnew = true),
            Case(began = "v1", continued = "v1", startsAnew = false),
            Case(began = "v1", continued = "v1", startsAnew = false, told = Told.FIRST),
            Case(began = "v1", continued = "v1", startsAnew = false, told = Told.LAST),
            Case(began = null, continued = null, startsAnew = false),
        ).forEach { case ->
            val runs = "${case.began} then ${case.continued}, told ${case.told}"
            test("a preempted item is never joined from two versions: $runs") {
                val vertx = Vertx.vertx()
                val engine = ReplacedEngine(vertx, case.began, case.continued, case.told)
                val answer = RecordedAnswer().also { runPreempted(vertx, engine, it) }

                val beganHere = if (case.startsAnew) 0 else PREEMPTED_AT
                val expected = List(TOKENS) { token(if (it < beganHere) case.began else case.continued, it) }
                JsonObject(answer.text)
                    .getJsonArray("choices")
                    .getJsonObject(0)
                    .getJsonObject("message")
                    .getString("content") shouldBe expected.joinToString("")
                engine.resumeTokens shouldBe listOf(0, PREEMPTED_AT, 0).take(if (case.startsAnew) 3 else 2)
                answer.endCount shouldBe 1
            }
        }

        test("an item that started anew at an engine that is lost is not reported as not run") {
            val vertx = Vertx.vertx()
            val signals = Channel<QueueSignal>(Channel.UNLIMITED)
            val cancels = Channel<Int>(Channel.UNLIMITED)
            val engine =
                ReplacedEngine(vertx, began = "v1", continued = "v1.1") { cancel ->
                    if (cancel == 2) signals.trySend(QueueSignal.Preempt)
                    cancels.trySend(cancel)
                }
            launch {
                while (cancels.receive() < 3) continue
                engine.stop()
                delay(CONNECTION_LOSS)
                signals.send(QueueSignal.Start)
            }
            val answer = RecordedAnswer().also { runPreempted(vertx, engine, it, signals) }
            answer.failure?.runState shouldBe RunState.UNKNOWN
        }
    })

/** Runs one item that is preempted and resumed after [PREEMPTED_AT] tokens, and closes [vertx]. */
private suspend fun runPreempted(
    vertx: Vertx,
    engine: ReplacedEngine,
    answer: RecordedAnswer,
    signals: Channel<QueueSignal> = Channel(Channel.UNLIMITED),
) {
    signals.send(QueueSignal.Start)
    val client = EngineClient(vertx, "http://127.0.0.1:${engine.start()}")
    val preempt = { tokens: Int ->
        if (tokens == PREEMPTED_AT && engine.resumeTokens.size == 1) {
            signals.trySend(QueueSignal.Preempt)
            signals.trySend(QueueSignal.Start)
        }
    }
    val handle = QueueHandle(signals, onFirstToken = {}, onProgress = { preempt(it) })
    BatchRun(client, ITEM, checkNotNull(ChatBody.of(WORK)), handle).run(answer.sink)
    vertx.close().coAwait()
}

private enum class Told { ALWAYS, FIRST, LAST }

/** Time for a client to notice that its idle connections are closed. */
private val CONNECTION_LOSS = 100.milliseconds
private const val TOKENS = 8
private const val PREEMPTED_AT = 3
private val WORK =
    ChatWork(
        model = ModelName("finding-models"),
        body = Payload.of("""{"model":"finding-models","messages":[]}"""),
        streamed = false,
        maximumTokens = TOKENS,
    )
private val ITEM =
    Offer(
        attempt = AttemptId(RequestId("item"), 1),
        workspace = null,
        requestClass = RequestClass.BATCH,
        idempotent = true,
        remaining = Duration.INFINITE,
        work = WORK,
        expectedIncarnation = null,
    )

private fun token(
    version: String?,
    number: Int,
) = "$version:$number "

/**
 * An engine whose first run stops in the middle, and whose further runs are those of another version.
 *
 * @param told events that have the fingerprint
 * @param onCancel called with the number of each request to cancel a run
 */
private class ReplacedEngine(
    vertx: Vertx,
    private val began: String?,
    private val continued: String?,
    private val told: Told = Told.ALWAYS,
    private val onCancel: (Int) -> Unit = {},
) {
    /** Tokens that each run was asked to skip. */
    val resumeTokens = mutableListOf<Int>()

    private val server = vertx.createHttpServer()

    private var cancels = 0
    private var port = 0

    suspend fun start(): Int {
        server.requestHandler { request ->
            val response = request.response()
            request.bodyHandler { if (request.path() == CHAT) run(it, response) else cancel(response) }
        }
        port = server.listen(0, "127.0.0.1").coAwait().actualPort()
        return port
    }

    /** Stops listening and returns once connections are refused. */
    suspend fun stop() {
        server.close().coAwait()
        while (runCatching { Socket("127.0.0.1", port).close() }.isSuccess) {
            delay(1)
        }
    }

    private fun cancel(response: HttpServerResponse) {
        cancels += 1
        onCancel(cancels)
        response.end()
    }

    private fun run(
        body: Buffer,
        response: HttpServerResponse,
    ) {
        val skipped = body.toJsonObject().getInteger("resume_tokens")
        resumeTokens += skipped
        val isFirst = resumeTokens.size == 1
        val version = if (isFirst) began else continued
        response.setChunked(true)
        for (number in skipped until if (isFirst) PREEMPTED_AT else TOKENS) {
            val isTold =
                when (told) {
                    Told.ALWAYS -> true
                    Told.FIRST -> number == skipped
                    Told.LAST -> number == TOKENS - 1
                }
            val fingerprint = version.takeIf { isTold }
            val delta = JsonObject().put("delta", JsonObject().put("content", token(version, number)))
            val event = JsonObject().put("system_fingerprint", fingerprint).put("choices", listOf(delta))
            response.write("data: ${event.encode()}\n\n")
        }
        if (!isFirst) {
            response.end("data: [DONE]\n\n")
        }
    }

    private companion object {
        const val CHAT = "/v1/chat/completions"
    }
}
