package tanagerlane.direct

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpConnection
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CompletableDeferred
import tanagerlane.model.RequestId
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * A caller's request and the answer to it.
 *
 * @property arrivedAt when the head of the request was read
 */
internal class CallerExchange(
    private val request: HttpServerRequest,
    private val names: HeaderNames,
    val arrivedAt: Instant,
    private val maximumBodyBytes: Int,
    private val isStopping: () -> Boolean,
) {
    private val body = CompletableDeferred<Buffer?>()
    private val response = request.response()

    /** Identity that the caller gave, or null. */
    val id: RequestId? = request.getHeader(names.requestId)?.let(::RequestId)

    val host: String = request.authority()?.host().orEmpty()
    val path: String = request.path().orEmpty()
    val connection: HttpConnection = request.connection()
    val method = request.method()
    val uri: String = request.uri()
    val headers = request.headers()

    /** Key that the caller presents, or null. */
    val key: String? = request.getHeader(names.key)

    /** Number of the last event that the caller has of a stream, or null. */
    val resumeAfter: Long? = request.getHeader(names.resumeAfter)?.toLongOrNull()

    /** Time for which a read may be kept waiting. */
    val wait: Duration = (request.getHeader(names.wait)?.toLongOrNull() ?: 0).coerceIn(0, MAXIMUM_WAIT).milliseconds

    /** Whether the head of the answer has been sent. */
    val isAnswerStarted: Boolean get() = response.headWritten()

    init {
        response.closeHandler { if (!response.ended()) onAborted("caller gone") }
        collectBody()
    }

    /** Returns the time that [timeout] and the caller's own deadline leave. */
    fun deadline(timeout: Duration): Instant {
        val own = request.getHeader(names.deadline)?.toLongOrNull()?.milliseconds
        return arrivedAt + if (own == null) timeout else minOf(own, timeout)
    }

    /** Called with the cause when the exchange ends before its answer does. */
    var onAborted: (cause: String) -> Unit = {}

    /** Returns the whole body, or null when it is over the limit. */
    suspend fun body(): Buffer? = body.await()

    /** Begins an answer whose body follows in pieces. */
    fun begin(
        status: Int,
        headers: Iterable<Map.Entry<String, String>>,
    ) {
        response.setStatusCode(status)
        headers.forEach { response.headers().add(it.key, it.value) }
        response.isChunked = true
        announceEnd()
    }

    /** Sends a piece of an answer that has begun. */
    fun write(piece: Buffer) {
        response.write(piece)
    }

    /** Ends an answer that has begun. */
    fun end() {
        response.end()
    }

    /** Sends a whole answer. */
    fun answer(
        status: Int,
        headers: Iterable<Map.Entry<String, String>>,
        content: Buffer,
    ) {
        if (response.ended() || response.closed()) {
            return
        }
        response.setStatusCode(status)
        headers.forEach { response.headers().add(it.key, it.value) }
        announceEnd()
        response.end(content)
    }

    /** Sends a whole answer with a JSON body. */
    fun answerJson(
        status: Int,
        content: Buffer,
    ): Unit = answer(status, mapOf("content-type" to "application/json").entries, content)

    /** Refuses the request; [retryAfter] tells when another try may be served. */
    fun refuse(
        refusal: CallerRefusal,
        retryAfter: Duration? = null,
    ) {
        val wait = retryAfter?.takeIf { refusal.isRetryable }
        val headers = HashMap<String, String>()
        id?.let { headers[names.requestId] = it.text }
        wait?.let { headers["retry-after"] = "%.3f".format(Locale.ROOT, it.toDouble(DurationUnit.SECONDS)) }
        answer(refusal.status, headers.entries, Buffer.buffer())
    }

    /** Breaks the connection off, so that what was sent does not look whole. */
    fun abort() {
        request.connection().close()
    }

    private fun announceEnd() {
        if (isStopping()) {
            response.putHeader("connection", "close")
        }
    }

    private fun collectBody() {
        val collected = Buffer.buffer()
        var isTooLarge = false
        request.handler { piece ->
            if (collected.length() + piece.length() > maximumBodyBytes) {
                isTooLarge = true
                body.complete(null)
            } else if (!isTooLarge) {
                collected.appendBuffer(piece)
            }
        }
        request.endHandler { body.complete(collected) }
        request.exceptionHandler { body.completeExceptionally(it) }
    }

    private companion object {
        const val MAXIMUM_WAIT = 30_000L
    }
}
