package tanagerlane.sidecar.orders

import io.vertx.core.Future
import io.vertx.core.Promise
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.orders.FencedOrder
import tanagerlane.orders.OrderOutcome
import tanagerlane.orders.OrderRefusal
import tanagerlane.runtime.InterimAnswers
import tanagerlane.runtime.StoredDocuments
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/**
 * Sends orders to the target over HTTP.
 *
 * @param targetUrl base URL of the target
 */
internal class OrderClient(
    private val vertx: Vertx,
    private val targetUrl: String,
) {
    /** Sends [order] according to the contract of [OrderCall]. */
    suspend fun send(
        order: FencedOrder,
        timeout: Duration,
        mayWrite: () -> Boolean,
    ): OrderOutcome {
        val writeState = AtomicReference(WriteState.CONNECTING)
        val client = vertx.createHttpClient(HttpClientOptions().setKeepAlive(false))
        val body = Buffer.buffer(StoredDocuments.encode(FencedOrder.serializer(), order).toByteArray())
        val options = RequestOptions().setMethod(HttpMethod.POST).setAbsoluteURI("$targetUrl/v1/orders")
        try {
            val answer = client.request(options).compose { write(it, body, mayWrite, writeState) }
            return withTimeoutOrNull(timeout) { answer.coAwait() } ?: outcomeWithoutAnswer(writeState)
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            logger.info("order call failed fencing={} cause={}", order.fencing, exception.toString())
            return outcomeWithoutAnswer(writeState)
        } finally {
            preventWrite(writeState)
            client.close()
        }
    }

    /** Runs on the connection's event loop, so that nothing is queued between the check and the write. */
    private fun write(
        request: HttpClientRequest,
        body: Buffer,
        mayWrite: () -> Boolean,
        writeState: AtomicReference<WriteState>,
    ): Future<OrderOutcome> {
        if (!mayWrite() || !writeState.compareAndSet(WriteState.CONNECTING, WriteState.WRITTEN)) {
            request.reset()
            return Future.succeededFuture(OrderOutcome.NotSent)
        }
        request.putHeader("content-type", "application/json")
        InterimAnswers.bound(request) { request.reset() }
        return request.send(body).compose { response ->
            readBody(request, response).map { outcomeOf(response.statusCode(), it.toString()) }
        }
    }

    /** Reads the whole body; resets the request if the body exceeds [MAXIMUM_ANSWER_BYTES]. */
    private fun readBody(
        request: HttpClientRequest,
        response: HttpClientResponse,
    ): Future<Buffer> {
        val content = Buffer.buffer()
        val result = Promise.promise<Buffer>()
        response.handler { piece ->
            if (content.length() + piece.length() > MAXIMUM_ANSWER_BYTES) {
                result.tryFail("answer exceeds the limit of $MAXIMUM_ANSWER_BYTES bytes")
                request.reset()
            } else {
                content.appendBuffer(piece)
            }
        }
        response.exceptionHandler { result.tryFail(it) }
        response.endHandler { result.tryComplete(content) }
        return result.future()
    }

    private fun outcomeOf(
        status: Int,
        answer: String,
    ): OrderOutcome =
        when (status) {
            in SUCCESS -> OrderOutcome.Taken
            in CLIENT_ERROR -> OrderOutcome.Refused(OrderRefusal(status, answer.take(MAXIMUM_REFUSAL_CHARACTERS)))
            else -> OrderOutcome.Unknown
        }

    private fun outcomeWithoutAnswer(writeState: AtomicReference<WriteState>): OrderOutcome =
        if (preventWrite(writeState)) OrderOutcome.NotSent else OrderOutcome.Unknown

    /** Prevents writing to a connection that opens too late; returns whether nothing was written before. */
    private fun preventWrite(writeState: AtomicReference<WriteState>): Boolean =
        writeState.compareAndSet(WriteState.CONNECTING, WriteState.CLOSED)

    private enum class WriteState { CONNECTING, WRITTEN, CLOSED }

    private companion object {
        /** Maximum number of characters of a refusal that are recorded. */
        const val MAXIMUM_REFUSAL_CHARACTERS = 200

        /** Maximum bytes of the answer to an order, 64 KiB; targets send one line. */
        const val MAXIMUM_ANSWER_BYTES = 64 shl 10
        val SUCCESS = 200..299
        val logger = LoggerFactory.getLogger(OrderClient::class.java)
        val CLIENT_ERROR = 400..499
    }
}
