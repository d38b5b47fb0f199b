package tanagerlane.runtime

import io.vertx.core.Future
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import java.io.IOException

/** How the answers of HTTP/1.1 end, and which of them end a request. */
public object AnswerFraming {
    /**
     * Send buffer of connections that carry requests, 64 KiB.
     *
     * Bytes in the buffer count as written, so a larger one hides that the receiver closed the connection without
     * reading them.
     */
    public const val SEND_BUFFER_BYTES: Int = 64 shl 10

    /** Statuses of final answers; lower ones are interim, and a final answer follows. */
    private val FINAL_STATUSES = 200..599

    /** Statuses of answers without a body, whatever their headers state. */
    private val STATUSES_WITHOUT_BODY = setOf(204, 304)

    /**
     * Returns why the status of [response] is none of a final answer, or null if it is one.
     *
     * HTTP treats a status over 599 as an error of the server. It is not passed on, as callers may read it otherwise.
     */
    public fun statusFault(response: HttpClientResponse): String? =
        response.statusCode().takeIf { it !in FINAL_STATUSES }?.let { "status $it is not one of a final answer" }

    /** Whether [response] has a length or consists of chunks. */
    public fun hasLength(response: HttpClientResponse): Boolean =
        response.getHeader("content-length") != null ||
            response
                .getHeader(
                    "transfer-encoding",
                ).orEmpty()
                .split(',')
                .any { it.trim().equals("chunked", ignoreCase = true) }

    /** Whether the body of [response] ends with its connection. */
    public fun endsWithConnection(response: HttpClientResponse): Boolean =
        !hasLength(response) &&
            response.statusCode() !in STATUSES_WITHOUT_BODY &&
            response.request().method != HttpMethod.HEAD

    /**
     * Calls [onEnd] at the end of the body of [response], with what is wrong with it, or null.
     *
     * A connection that ends before the request was [written] has failed. The end of a body may be reported before
     * the outcome of a write, which the end of the connection decides at the latest, and therefore waits for it.
     */
    internal fun onBodyEnd(
        response: HttpClientResponse,
        written: Future<Void>,
        onEnd: (Throwable?) -> Unit,
    ) {
        response.endHandler {
            if (endsWithConnection(response)) {
                written.onComplete { write ->
                    onEnd(write.cause()?.let { IOException("connection ended before the request was written", it) })
                }
            } else {
                onEnd(null)
            }
        }
    }
}
