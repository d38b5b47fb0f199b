package tanagerlane.sidecar

import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import org.slf4j.LoggerFactory
import tanagerlane.message.ChatWork
import tanagerlane.message.Header
import tanagerlane.message.Offer
import tanagerlane.message.ServiceWork
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import tanagerlane.runtime.AnswerFraming
import tanagerlane.runtime.AnswerPieces
import tanagerlane.runtime.InterimAnswers
import java.io.IOException
import java.net.ConnectException

/**
 * Calls the target over HTTP and forwards its answer byte by byte.
 *
 * @param targetUrl base URL of the target
 */
internal class TargetClient(
    vertx: Vertx,
    private val targetUrl: String,
) {
    private val client =
        vertx.createHttpClient(
            HttpClientOptions().setSendBufferSize(AnswerFraming.SEND_BUFFER_BYTES),
            PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS),
        )

    /** Opens a connection for each call, so that no call uses a pooled one that the target is about to close. */
    private val unpooledClient =
        vertx.createHttpClient(
            HttpClientOptions().setKeepAlive(false).setSendBufferSize(AnswerFraming.SEND_BUFFER_BYTES),
            PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS),
        )

    /** Runs the work of [offer] and reports to [sink]. */
    suspend fun run(
        offer: Offer,
        sink: AnswerSink,
    ) {
        if (!sink.begin()) {
            return
        }
        try {
            call(if (offer.idempotent) client else unpooledClient, callOf(offer), sink)
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: ConnectException) {
            sink.fail(RunState.NOT_RUN, RefusalReason.NO_TARGET)
        } catch (exception: Exception) {
            logger.info("call failed request={} cause={}", offer.attempt.request, exception.toString())
            sink.fail(RunState.UNKNOWN, RefusalReason.TARGET_FAILED)
        }
    }

    private fun callOf(offer: Offer): TargetCall =
        when (val work = offer.work) {
            is ChatWork -> chatCall(offer.attempt.request, work)
            is ServiceWork -> serviceCall(offer.attempt.request, work)
        }

    private fun chatCall(
        id: RequestId,
        work: ChatWork,
    ) = TargetCall(
        method = HttpMethod.POST,
        path = "/v1/chat/completions",
        headers = listOf(Header("content-type", "application/json"), Header(REQUEST_ID, id.text)),
        body = work.body,
    )

    private fun serviceCall(
        id: RequestId,
        work: ServiceWork,
    ) = TargetCall(
        method = HttpMethod.valueOf(work.method),
        path = work.path,
        headers = work.headers + Header(REQUEST_ID, id.text),
        body = work.body,
    )

    private suspend fun call(
        client: HttpClient,
        call: TargetCall,
        sink: AnswerSink,
    ) {
        val options = RequestOptions().setMethod(call.method).setAbsoluteURI(targetUrl + call.path)
        val request = client.request(options).coAwait()
        call.headers.forEach { request.putHeader(it.name, it.value) }
        try {
            // Set before the request is sent: the whole answer may arrive before this coroutine resumes.
            val head = request.response().map(::pausedResponse)
            InterimAnswers.bound(request) { reset(request) }
            val written = request.end(Buffer.buffer(call.body.toByteArray()))
            val response = head.coAwait()
            AnswerFraming.statusFault(response)?.let { throw IOException(it) }
            forwardAnswer(response, written, sink)
        } catch (exception: Exception) {
            reset(request)
            throw exception
        }
    }

    /** Forwards the answer; throws [AnswerLimitException] if it exceeds a limit. */
    private suspend fun forwardAnswer(
        response: HttpClientResponse,
        written: Future<Void>,
        sink: AnswerSink,
    ) {
        val limitChecker =
            AnswerLimitChecker(isStream = response.getHeader("content-type").orEmpty().startsWith(EVENT_STREAM))
        val pieces = AnswerPieces()
        pieces.listen(response, written)
        response.resume()
        sink.head(response.statusCode(), forwardedHeaders(response))
        while (true) {
            val piece = pieces.next() ?: break
            limitChecker.add(piece.bytes)
            sink.bytes(Payload.of(piece.bytes))
        }
        if (AnswerFraming.endsWithConnection(response) && limitChecker.isInsideEvent) {
            throw IOException("stream without a length ended inside an event")
        }
        sink.end()
    }

    /** Pauses the body until its handlers are set; otherwise its first bytes could be lost. */
    private fun pausedResponse(response: HttpClientResponse): HttpClientResponse {
        response.pause()
        return response
    }

    private fun reset(request: HttpClientRequest) {
        request.reset()
    }

    private fun forwardedHeaders(response: HttpClientResponse): List<Header> =
        response
            .headers()
            .map { Header(it.key.lowercase(), it.value) }
            .filter { it.name in FORWARDED_HEADERS }

    private data class TargetCall(
        val method: HttpMethod,
        val path: String,
        val headers: List<Header>,
        val body: Payload,
    )

    private companion object {
        const val MAXIMUM_CONNECTIONS = 256
        const val REQUEST_ID = "x-request-id"
        const val EVENT_STREAM = "text/event-stream"
        val logger = LoggerFactory.getLogger(TargetClient::class.java)
        val FORWARDED_HEADERS = setOf("content-type", "cache-control", "etag", "last-modified", "location")
    }
}
