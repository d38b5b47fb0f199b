package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpConnectOptions
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.places.DirectTarget
import tanagerlane.runtime.AnswerPieces
import tanagerlane.runtime.InterimAnswers
import tanagerlane.wire.WireAddress
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Calls targets, one request at a time on a connection.
 *
 * Only an answer that repeats the identity of its request belongs to it; a connection on which anything else comes
 * is closed.
 *
 * @param requestIdHeader header that identifies a request and its answer
 */
internal class TargetClient(
    vertx: Vertx,
    private val requestIdHeader: String,
    private val now: () -> Instant,
) {
    private val client =
        vertx.createHttpClient(
            HttpClientOptions().setKeepAlive(true).setPipelining(false).setTcpNoDelay(true),
            PoolOptions().setHttp1MaxSize(1),
        )
    private val idle =
        IdleConnections(now) { time, action -> vertx.setTimer(time.inWholeMilliseconds + 1) { action() } }

    /** Sends [request] to [target]; the head of the answer must come within [patience]. */
    suspend fun call(
        target: DirectTarget,
        request: TargetRequest,
        patience: Duration,
    ): Result<TargetAnswer, CallFault> {
        val connection = connected(target, request.id, patience).getOrElse { return Err(it) }
        val exchange = TargetExchange(connection, idle, request.id, requestIdHeader)
        var answer: Result<TargetAnswer, CallFault>? = null
        try {
            answer = withTimeoutOrNull(patience) { exchange.run(request) }
            return answer ?: Err(CallFault.TimedOut(patience))
        } finally {
            if (answer == null || answer.isErr) {
                connection.close()
            }
        }
    }

    /** Closes the idle connections to targets at addresses other than [addresses]. */
    fun keepOnly(addresses: Set<String>): Unit = idle.keepOnly(addresses)

    private suspend fun connected(
        target: DirectTarget,
        requestId: String,
        patience: Duration,
    ): Result<TargetConnection, CallFault> {
        idle.take(target.address, requestId)?.let { return Ok(it) }
        val address =
            WireAddress.parse(target.address)
                ?: return Err(CallFault.NotSent("address is not IP:port: ${target.address}"))
        val options =
            HttpConnectOptions()
                .setHost(address.host)
                .setPort(address.port)
                .setConnectTimeout(CONNECT_TIMEOUT.inWholeMilliseconds)
        return try {
            val opened = withTimeoutOrNull(minOf(patience, CONNECT_TIMEOUT)) { client.connect(options).coAwait() }
            if (opened ==
                null
            ) {
                Err(CallFault.NotSent("no connection to ${target.address}"))
            } else {
                Ok(TargetConnection(target.address, opened))
            }
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            logger.debug("connect failed target={} cause={}", target.name, exception.toString())
            Err(CallFault.NotSent(exception.toString()))
        }
    }

    private companion object {
        /** Time that a connection may take; targets are a few milliseconds away. */
        val CONNECT_TIMEOUT = 400.milliseconds
        val logger = LoggerFactory.getLogger(TargetClient::class.java)
    }
}

/** One request on one connection. */
private class TargetExchange(
    private val connection: TargetConnection,
    private val idle: IdleConnections,
    private val id: String,
    private val requestIdHeader: String,
) {
    private val body = AnswerPieces()
    private var isWritten = false
    private var isWhole = false
    private var isInterimOnly = false

    suspend fun run(request: TargetRequest): Result<TargetAnswer, CallFault> {
        var isSent = false
        connection.lastRequest = id
        return try {
            val options = RequestOptions().setMethod(request.method).setURI(request.uri).setHeaders(request.headers)
            val outgoing = connection.opened.request(options).coAwait()
            isSent = true
            InterimAnswers.bound(outgoing, ::closeForInterim)
            val response = sent(outgoing, request.body).coAwait()
            answerOf(response)
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            Err(if (isSent) CallFault.Lost(causeOf(exception)) else CallFault.NotSent(exception.toString()))
        }
    }

    private fun causeOf(exception: Exception): String =
        if (isInterimOnly) "more than ${InterimAnswers.MAXIMUM} interim answers" else exception.toString()

    /** Interim answers take up no memory, but a target that sends nothing else has no answer to give. */
    private fun closeForInterim() {
        isInterimOnly = true
        connection.close()
    }

    private fun sent(
        outgoing: HttpClientRequest,
        body: Buffer,
    ) = outgoing
        .response()
        .map(::listen)
        .also { outgoing.end(body).onComplete { isWritten = it.succeeded() } }

    /** Sets the handlers before the first byte of the body can come. */
    private fun listen(response: HttpClientResponse): HttpClientResponse {
        body.listen(response) { ended(response) }
        return response
    }

    /** Returns what is wrong with the answer, or null; before the receiver hears of the end and asks for a connection. */
    private fun ended(response: HttpClientResponse): IOException? {
        val cut = connection.fault
        if (cut != null) {
            return IOException("connection broke: $cut")
        }
        isWhole = true
        if (isWritten && mayKeep(response)) idle.put(connection, keepTimeOf(response)) else connection.close()
        return null
    }

    private fun answerOf(response: HttpClientResponse): Result<TargetAnswer, CallFault> {
        val answered = response.getHeader(requestIdHeader)
        if (answered != id) {
            return Err(CallFault.Lost("answer of another request: $answered"))
        }
        if (response.statusCode() < FIRST_FINAL_STATUS) {
            return Err(CallFault.Lost("answer is an interim one: ${response.statusCode()}"))
        }
        return Ok(
            TargetAnswer(response.statusCode(), response.headers(), hasLength(response), body) {
                if (!isWhole) connection.close()
            },
        )
    }

    private fun mayKeep(response: HttpClientResponse): Boolean =
        hasLength(response) &&
            response.getHeader(requestIdHeader) == id &&
            response.getHeader("connection")?.lowercase() != "close"

    private fun hasLength(response: HttpClientResponse): Boolean =
        response.getHeader("content-length") != null || response.getHeader("transfer-encoding") != null

    private fun keepTimeOf(response: HttpClientResponse): Duration? =
        response
            .getHeader("keep-alive")
            ?.substringAfter("timeout=", "")
            ?.takeWhile { it.isDigit() }
            ?.toLongOrNull()
            ?.let { (it * MILLISECONDS).milliseconds }

    private companion object {
        const val MILLISECONDS = 1000

        /** Answers with a lower status announce another one, which this client can't wait for. */
        const val FIRST_FINAL_STATUS = 200
    }
}
