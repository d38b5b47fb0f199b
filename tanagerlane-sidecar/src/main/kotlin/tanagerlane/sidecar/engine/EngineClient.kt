package tanagerlane.sidecar.engine

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.model.Payload
import tanagerlane.model.RequestId
import tanagerlane.runtime.AnswerFraming
import tanagerlane.runtime.AnswerPieces
import tanagerlane.runtime.InterimAnswers
import tanagerlane.runtime.MonotonicClock
import tanagerlane.sidecar.AnswerLimitChecker
import tanagerlane.sidecar.AnswerLimitException
import tanagerlane.streams.PartialEventTimer
import java.io.IOException
import java.net.ConnectException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Streams chat completions from a model engine.
 *
 * @param engineUrl base URL of the engine
 * @param maximumEventDuration time limit from the first byte of an event to its last
 */
internal class EngineClient(
    vertx: Vertx,
    private val engineUrl: String,
    private val maximumEventDuration: Duration = MAXIMUM_EVENT_DURATION,
    private val now: () -> Instant = MonotonicClock()::now,
) {
    private val client =
        vertx.createHttpClient(
            HttpClientOptions().setSendBufferSize(AnswerFraming.SEND_BUFFER_BYTES),
            PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS),
        )

    /**
     * Sends [body], which requests a stream, and passes the data of each event to [onEvent].
     *
     * An [OtherVersionException] from [onEvent] ends the run as [EngineFailure.OtherVersion].
     */
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
        } catch (exception: OtherVersionException) {
            logger.info("run not continued request={} cause={}", id, exception.message)
            Err(EngineFailure.OtherVersion)
        } catch (exception: Exception) {
            logger.info("engine call failed request={} cause={}", id, exception.toString())
            Err(EngineFailure.Broken)
        }

    /** Asks the engine to stop the run of [id]; returns whether the engine confirmed it. */
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
        } catch (exception: Exception) {
            request.reset()
            throw exception
        }
    }

    private suspend fun receive(
        request: HttpClientRequest,
        body: Payload,
        onEvent: (String) -> Unit,
    ): Result<Unit, EngineFailure> {
        // Set before the request is sent: the whole answer may arrive before this coroutine resumes.
        val head = request.response().map { it.pause() }
        InterimAnswers.bound(request) { request.reset() }
        val written = request.end(Buffer.buffer(body.toByteArray()))
        val response = head.coAwait()
        AnswerFraming.statusFault(response)?.let { throw IOException(it) }
        val pieces = AnswerPieces()
        pieces.listen(response, written)
        response.resume()
        if (response.statusCode() !in SUCCESS) {
            return Err(EngineFailure.ErrorAnswer(response.statusCode(), Payload.of(readBody(pieces).bytes)))
        }
        receiveEvents(pieces, onEvent)
        return Ok(Unit)
    }

    private suspend fun readBody(pieces: AnswerPieces): Buffer {
        val limitChecker = AnswerLimitChecker(isStream = false)
        val content = Buffer.buffer()
        while (true) {
            val piece = pieces.next() ?: return content
            limitChecker.add(piece.bytes)
            content.appendBuffer(piece)
        }
    }

    private suspend fun receiveEvents(
        pieces: AnswerPieces,
        onEvent: (String) -> Unit,
    ) {
        val limitChecker = AnswerLimitChecker(isStream = true)
        val parser = EventParser()
        val eventTimer = PartialEventTimer(maximumEventDuration)
        while (true) {
            val result =
                withTimeoutOrNull(eventTimer.timeLeft(now())) { pieces.receiveCatching() }
                    ?: throw AnswerLimitException("event incomplete after $maximumEventDuration")
            result.exceptionOrNull()?.let { throw it }
            val piece = result.getOrNull() ?: return
            limitChecker.add(piece.bytes)
            val events = parser.accept(piece.bytes)
            events.forEach(onEvent)
            eventTimer.update(parser.isInsideEvent, events.isNotEmpty(), now())
        }
    }

    private fun options(path: String) = RequestOptions().setMethod(HttpMethod.POST).setAbsoluteURI(engineUrl + path)

    private companion object {
        const val MAXIMUM_CONNECTIONS = 256

        /** Time limit for one event; engines write each event in one piece. */
        val MAXIMUM_EVENT_DURATION = 30.seconds
        val SUCCESS = 200..299
        val logger = LoggerFactory.getLogger(EngineClient::class.java)
    }
}
