package tanagerlane.entry

import io.vertx.core.buffer.Buffer
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import tanagerlane.caller.ErrorDetail
import tanagerlane.caller.ErrorDocument
import tanagerlane.message.Header
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.model.WorkspaceName
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * A caller's HTTP request and the response to it.
 *
 * @param record records each refusal before it is sent to the caller
 */
internal class CallerExchange(
    private val context: RoutingContext,
    private val record: suspend (WorkspaceName?, CallerRefusal) -> Unit,
) {
    /** Workspace of the caller's key, or null while it is unknown. */
    var workspace: WorkspaceName? = null

    val method: String get() = context.request().method().name()

    /** Path and query, unchanged. */
    val uri: String get() = context.request().uri().orEmpty()

    val body: Payload
        get() {
            val buffer: Buffer = context.body().buffer() ?: return Payload.EMPTY
            return Payload.of(buffer.bytes)
        }

    fun header(name: String): String? = context.request().getHeader(name)

    fun parameter(name: String): String? = context.request().getParam(name)

    /** Headers that are forwarded to a service; the caller's key is never one of them. */
    fun forwardedHeaders(): List<Header> =
        context
            .request()
            .headers()
            .map { Header(it.key.lowercase(), it.value) }
            .filter { it.name in FORWARDED_HEADERS }

    /** Calls [action] if the caller's connection is closed before the response ends. */
    fun onDisconnected(action: () -> Unit) {
        context.response().closeHandler { action() }
    }

    /** Records [refusal], then sends it. */
    suspend fun refuse(refusal: CallerRefusal) {
        record(workspace, refusal)
        val detail = ErrorDetail(type = refusal.reason, run = refusal.runState, message = refusal.explanation)
        refusal.retryAfter?.let { context.response().putHeader("retry-after", secondsRoundedUp(it)) }
        sendJson(refusal.reason.httpStatus, ErrorDocument.serializer(), ErrorDocument(detail))
    }

    /** Sends [document] as JSON unless the connection is closed. */
    suspend fun <T> sendJson(
        status: Int,
        serializer: KSerializer<T>,
        document: T,
    ) {
        val response = context.response().setStatusCode(status).putHeader("content-type", "application/json")
        if (!response.closed()) {
            response.end(Json.encodeToString(serializer, document)).coAwait()
        }
    }

    /** Sends [lines] as JSON lines; [next] is the cursor of the next page, or null on the last page. */
    suspend fun sendLines(
        lines: List<String>,
        next: String?,
    ) {
        val response = context.response().putHeader("content-type", "application/jsonl")
        next?.let { response.putHeader("x-next-cursor", it) }
        if (!response.closed()) {
            response.end(lines.joinToString("") { "$it\n" }).coAwait()
        }
    }

    /** Returns a sink that streams a target's answer to the caller. */
    fun sink(): CallerSink =
        CallerSink(
            head = ::writeHead,
            bytes = ::writeBytes,
            complete = ::complete,
            refuse = ::refuse,
            abort = ::abort,
        )

    private suspend fun writeHead(
        status: Int,
        headers: List<Header>,
    ) {
        val response = context.response().setStatusCode(status).setChunked(true)
        headers.forEach { response.putHeader(it.name, it.value) }
    }

    private suspend fun writeBytes(bytes: Payload) {
        if (!context.response().closed()) {
            context.response().write(Buffer.buffer(bytes.toByteArray())).coAwait()
        }
    }

    private suspend fun complete() {
        if (!context.response().closed()) {
            context.response().end().coAwait()
        }
    }

    /**
     * Ends a started response by resetting it, so that the caller cannot take a partial body for a complete one.
     *
     * A stream gets an error event first.
     */
    private suspend fun abort(reason: RefusalReason) {
        val refusal = CallerRefusal(reason, RunState.UNKNOWN, reason.explanation)
        record(workspace, refusal)
        val detail = ErrorDetail(type = reason, run = RunState.UNKNOWN, message = refusal.explanation)
        if (context
                .response()
                .headers()["content-type"]
                .orEmpty()
                .startsWith(EVENT_STREAM)
        ) {
            val event = Json.encodeToString(ErrorDocument.serializer(), ErrorDocument(detail))
            writeBytes(Payload.of("data: $event\n\n"))
        }
        context.response().reset()
    }

    private fun secondsRoundedUp(duration: Duration): String =
        kotlin.math
            .ceil(duration.toDouble(DurationUnit.SECONDS))
            .toLong()
            .toString()

    private companion object {
        const val EVENT_STREAM = "text/event-stream"
        val FORWARDED_HEADERS = setOf("accept", "accept-language", "content-type", "if-match", "if-none-match")
    }
}
