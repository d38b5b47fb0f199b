package tanagerlane.sidecar.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import tanagerlane.message.ChatWork
import tanagerlane.message.Offer
import tanagerlane.model.AttemptId
import tanagerlane.model.ModelName
import tanagerlane.model.Payload
import tanagerlane.model.RequestClass
import tanagerlane.model.RequestId
import kotlin.time.Duration

/** Guards against answers that are joined from runs of two versions of an engine's software. */
class JoinedVersionsTest :
    FunSpec({
        data class Case(
            val began: String?,
            val continued: String?,
            val startsAnew: Boolean,
            val tellsOnce: Boolean = false,
        )
        listOf(
            Case(began = "v1", continued = "v1.1", startsAnew = true),
            Case(began = "v1", continued = "v1.1", startsAnew = true, tellsOnce = true),
            Case(began = "v1", continued = null, startsAnew = true),
            Case(began = null, continued = "v1.1", startsAnew = true),
            Case(began = "v1", continued = "v1", startsAnew = false),
            Case(began = "v1", continued = "v1", startsAnew = false, tellsOnce = true),
            Case(began = null, continued = null, startsAnew = false),
        ).forEach { case ->
            val runs = "${case.began} then ${case.continued}" + if (case.tellsOnce) ", told once" else ""
            test("a preempted item is never joined from two versions: $runs") {
                val vertx = Vertx.vertx()
                val engine = ReplacedEngine(vertx, case.began, case.continued, case.tellsOnce)
                val client = EngineClient(vertx, "http://127.0.0.1:${engine.start()}")
                val signals = Channel<QueueSignal>(Channel.UNLIMITED).apply { send(QueueSignal.Start) }
                val preempt = { tokens: Int ->
                    if (tokens == PREEMPTED_AT && engine.resumeTokens.size == 1) {
                        signals.trySend(QueueSignal.Preempt)
                        signals.trySend(QueueSignal.Start)
                    }
                }
                val handle = QueueHandle(signals, onFirstToken = {}, onProgress = { preempt(it) })
                val answer = RecordedAnswer()
                launch { BatchRun(client, ITEM, checkNotNull(ChatBody.of(WORK)), handle).run(answer.sink) }.join()
                vertx.close().coAwait()

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
    })

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
 * @param tellsOnce whether only the first event of a run has the fingerprint
 */
private class ReplacedEngine(
    private val vertx: Vertx,
    private val began: String?,
    private val continued: String?,
    private val tellsOnce: Boolean,
) {
    /** Tokens that each run was asked to skip. */
    val resumeTokens = mutableListOf<Int>()

    suspend fun start(): Int =
        vertx
            .createHttpServer()
            .requestHandler { request ->
                request.bodyHandler {
                    if (request.path() ==
                        CHAT
                    ) {
                        run(it, request.response())
                    } else {
                        request.response().end()
                    }
                }
            }.listen(0, "127.0.0.1")
            .coAwait()
            .actualPort()

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
            val fingerprint = version.takeIf { number == skipped || !tellsOnce }
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
