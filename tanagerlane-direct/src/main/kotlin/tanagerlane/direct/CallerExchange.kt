package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CompletableDeferred
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestId
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * A caller's HTTP request and the answer to it.
 *
 * @property arrivedAt time at which the head of the request was read
 */
internal class CallerExchange(
    private val request: HttpServerRequest,
    private val names: HeaderNames,
    val arrivedAt: Instant,
    private val maximumBodyBytes: Int,
    private val isStopping: () -> Boolean,
    private val gate: CallerGate,
) {
    private val body = CompletableDeferred<Result<Buffer, RefusalReason>>()
    private val response = request.response()

    /** Request id given by the caller, or null. */
    val id: RequestId? = request.getHeader(names.requestId)?.let(::RequestId)

    val host: String = request.authority()?.host().orEmpty()
    val path: String = request.path().orEmpty()
    val method = request.method()
    val uri: String = request.uri()
    val headers = request.headers()

    /** API key presented by the caller, or null. */
    val key: String? = request.getHeader(names.key)

    /** Parts of the prompt as the caller lists them, or null. */
    val promptParts: String? = request.getHeader(names.promptParts)

    /** Number of the last stream event that the caller has received, or null. */
    val resumeAfter: Long? = request.getHeader(names.resumeAfter)?.toLongOrNull()

    /** Id of the client attempt that brought the first event of the stream that the caller resumes, or null. */
    val resumedAttempt: String? = request.getHeader(names.resumedAttempt)

    /** Maximum time for which a read of results may wait for new ones; at most 30 s. */
    val wait: Duration =
        (request.getHeader(names.wait)?.toLongOrNull() ?: 0).coerceIn(0, MAXIMUM_WAIT_MILLISECONDS).milliseconds

    /** Whether the head of the answer has been sent. */
    val isAnswerStarted: Boolean get() = response.headWritten()

    init {
        response.closeHandler { if (!response.ended()) onAborted("caller disconnected") }
        collectBody()
    }

    /** Returns [arrivedAt] plus [timeout], or plus the caller's own time limit if that is shorter. */
    fun deadline(timeout: Duration): Instant {
        val requested = request.getHeader(names.deadline)?.toLongOrNull()?.milliseconds
        return arrivedAt + if (requested == null) timeout else minOf(requested, timeout)
    }

    /** Returns the time until which a read of a job must be answered; callers do not wait much longer. */
    fun readDeadline(): Instant = arrivedAt + wait + READ_TIMEOUT

    /** Called with the cause when the exchange ends before the answer is complete. */
    var onAborted: (cause: String) -> Unit = {}

    /**
     * Reads the request body and returns it once it is complete.
     *
     * It fails with [RefusalReason.TOO_LARGE] for a body over the size limit, and with [RefusalReason.OVERLOADED] where
     * this process has no room for one of the declared size; nothing of the body is read then.
     */
    suspend fun body(): Result<Buffer, RefusalReason> {
        val declared = gate.body.declaredBytes ?: 0L
        when {
            body.isCompleted -> Unit
            declared > maximumBodyBytes -> return Err(RefusalReason.TOO_LARGE)
            !gate.makeRoom(declared) -> return Err(RefusalReason.OVERLOADED)
            else -> gate.admitBody()
        }
        return body.await()
    }

    /** Starts an answer whose body follows in pieces. */
    fun begin(
        status: Int,
        headers: Iterable<Map.Entry<String, String>>,
    ) {
        response.setStatusCode(status)
        headers.forEach { response.headers().add(it.key, it.value) }
        response.isChunked = true
        addConnectionClose()
    }

    /** Sends a piece of an answer that was started with [begin]. */
    fun write(piece: Buffer) {
        response.write(piece)
    }

    /** Whether so much that was written waits for the caller that no more should be written. */
    val isWriteQueueFull: Boolean get() = response.writeQueueFull()

    /** Waits until the caller has read most of what was written. */
    suspend fun awaitWritable() {
        if (isWriteQueueFull) {
            val drained = CompletableDeferred<Unit>()
            response.drainHandler { drained.complete(Unit) }
            drained.await()
        }
    }

    /** Ends an answer that was started with [begin]. */
    fun end() {
        response.end()
    }

    /** Sends a complete answer; does nothing if the answer has ended or the connection is closed. */
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
        addConnectionClose()
        response.end(content)
    }

    /** Sends a complete answer with a JSON body. */
    fun answerJson(
        status: Int,
        content: Buffer,
    ): Unit = answer(status, mapOf("content-type" to "application/json").entries, content)

    /** Refuses the request; [retryAfter] is the time after which a retry may be served. */
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

    /** Closes the connection, so that the caller does not take a partial answer for a complete one. */
    fun abort() {
        request.connection().close()
    }

    private fun addConnectionClose() {
        if (isStopping() || gate.closesAfterAnswer) {
            response.putHeader("connection", "close")
        }
    }

    private fun collectBody() {
        var collected = Buffer.buffer()
        request.handler { piece ->
            when {
                response.ended() || body.isCompleted -> collected = Buffer.buffer()
                collected.length() + piece.length() > maximumBodyBytes -> body.complete(Err(RefusalReason.TOO_LARGE))
                else -> collected.appendBuffer(piece)
            }
        }
        request.endHandler { body.complete(Ok(collected)) }
        request.exceptionHandler { body.completeExceptionally(it) }
    }

    private companion object {
        const val MAXIMUM_WAIT_MILLISECONDS = 30_000L

        /** Time limit for a read of a job, in addition to the time for which the caller wants to wait for results. */
        val READ_TIMEOUT = 1200.milliseconds
    }
}
