package tanagerlane.sidecar.engine

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.vertx.core.Future
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import tanagerlane.model.Payload
import tanagerlane.model.RequestId
import java.net.ConnectException

/**
 * Streams chat completions from a model engine.
 *
 * @param engineUrl base URL of the engine
 */
internal class EngineClient(
    vertx: Vertx,
    private val engineUrl: String,
) {
    private val client = vertx.createHttpClient(PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS))

    /** Runs [body], which asks for a stream, and hands the data of each event to [onEvent]. */
    suspend fun stream(
        id: RequestId,
        body: Payload,
        onEvent: (String) -> Unit,
    ): Result<Unit, EngineFailure> =
        try {
            exchange(id, body, onEvent)
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: ConnectException) {
            Err(EngineFailure.Unreachable)
        } catch (_: Exception) {
            Err(EngineFailure.Broken)
        }

    /** Asks the engine to stop the run of [id]; returns whether it said that it has. */
    suspend fun cancel(id: RequestId): Boolean =
        try {
            val request = client.request(options("/v1/cancel/${id.text}")).coAwait()
            request.send().coAwait().statusCode() in SUCCESS
        } catch (exception: CancellationException) {
            throw exception
        } catch (_: Exception) {
            false
        }

    private suspend fun exchange(
        id: RequestId,
        body: Payload,
        onEvent: (String) -> Unit,
    ): Result<Unit, EngineFailure> {
        val request = client.request(options("/v1/chat/completions")).coAwait()
        request.putHeader("content-type", "application/json").putHeader("x-request-id", id.text)
        try {
            return receive(request, body, onEvent)
        } catch (exception: CancellationException) {
            request.reset()
            throw exception
        }
    }

    private suspend fun receive(
        request: HttpClientRequest,
        body: Payload,
        onEvent: (String) -> Unit,
    ): Result<Unit, EngineFailure> {
        // Set before the request is sent, since the answer may come whole before this thread goes on.
        val head = request.response().compose(::headOf)
        request.end(Buffer.buffer(body.toByteArray()))
        val response =
            when (val received = head.coAwait()) {
                is EngineHead.Failed -> return Err(EngineFailure.Answered(received.status, received.body))
                is EngineHead.Streaming -> received.response
            }
        val parser = EventParser()
        for (piece in pieces(response)) {
            parser.accept(piece.bytes).forEach(onEvent)
        }
        return Ok(Unit)
    }

    /** Runs on the event loop, where no part of the answer can come before it is waited for. */
    private fun headOf(response: HttpClientResponse): Future<EngineHead> {
        if (response.statusCode() in SUCCESS) {
            response.pause()
            return Future.succeededFuture(EngineHead.Streaming(response))
        }
        return response.body().map { EngineHead.Failed(response.statusCode(), Payload.of(it.bytes)) }
    }

    private fun pieces(response: HttpClientResponse): Channel<Buffer> {
        val pieces = Channel<Buffer>(Channel.UNLIMITED)
        response.handler { pieces.trySend(it) }
        response.endHandler { pieces.close() }
        response.exceptionHandler { pieces.close(it) }
        response.resume()
        return pieces
    }

    private fun options(path: String) = RequestOptions().setMethod(HttpMethod.POST).setAbsoluteURI(engineUrl + path)

    private companion object {
        const val MAXIMUM_CONNECTIONS = 256
        val SUCCESS = 200..299
    }
}
