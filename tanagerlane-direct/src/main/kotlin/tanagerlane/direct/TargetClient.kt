package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.vertx.core.Promise
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
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.places.DirectTarget
import tanagerlane.runtime.AnswerFraming
import tanagerlane.runtime.AnswerPieces
import tanagerlane.runtime.InterimAnswers
import tanagerlane.streams.AnswerBudget
import tanagerlane.wire.WireAddress
import java.io.IOException
import java.net.ConnectException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * HTTP client for targets, with one request at a time on a connection.
 *
 * An answer belongs to a request only if it repeats the id of the request; a connection on which anything else
 * arrives is closed. No connection sends the same id twice.
 *
 * @param requestIdHeader name of the header that carries the id of a request in the request and its answer
 * @param budget budget for all answers that this process is receiving; one that exceeds it breaks off
 */
internal class TargetClient(
    vertx: Vertx,
    private val requestIdHeader: String,
    private val now: () -> Instant,
    private val budget: AnswerBudget = AnswerBudget(Long.MAX_VALUE),
) {
    private val client =
        vertx.createHttpClient(
            HttpClientOptions()
                .setKeepAlive(true)
                .setPipelining(false)
                .setTcpNoDelay(true)
                .setSendBufferSize(AnswerFraming.SEND_BUFFER_BYTES)
                .setReceiveBufferSize(READ_BYTES),
            PoolOptions().setHttp1MaxSize(1),
        )
    private val idle =
        IdleConnections(now) { time, action -> vertx.setTimer(time.inWholeMilliseconds + 1) { action() } }

    /**
     * Sends [request] to [target]; fails if the head of the answer does not arrive within [timeout].
     *
     * @param furtherTime called when the time is over; returns how much longer to wait, or null to end the call
     */
    suspend fun call(
        target: DirectTarget,
        request: TargetRequest,
        timeout: Duration,
        furtherTime: () -> Duration? = { null },
    ): Result<TargetAnswer, CallFault> {
        val connection = connect(target, request.id, timeout).getOrElse { return Err(it) }
        val sentAt = now()
        val exchange = TargetExchange(connection, idle, request.id, requestIdHeader, budget) { now() - sentAt }
        var answer: Result<TargetAnswer, CallFault>? = null
        try {
            answer = withExtendableTimeout(timeout, furtherTime) { exchange.run(request) }
            return answer ?: Err(CallFault.TimedOut(now() - sentAt))
        } finally {
            if (answer == null || answer.isErr) {
                exchange.abort()
            }
        }
    }

    /**
     * Whether [target] refuses connections, as it does while its process does not run.
     *
     * Asks several times, because the connections of a process may end before its listener closes.
     */
    suspend fun isRefusing(target: DirectTarget): Boolean {
        val address = WireAddress.parse(target.address) ?: return false
        for (pause in REFUSAL_CHECK_PAUSES) {
            delay(pause)
            if (refusesConnection(target, address)) {
                return true
            }
        }
        return false
    }

    private suspend fun refusesConnection(
        target: DirectTarget,
        address: WireAddress,
    ): Boolean =
        try {
            withTimeoutOrNull(CONNECT_TIMEOUT) { client.connect(optionsFor(address)).coAwait() }?.close()
            false
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: ConnectException) {
            logger.debug("connection refused target={} cause={}", target.name, exception.toString())
            true
        } catch (exception: IOException) {
            logger.debug("connect failed target={} cause={}", target.name, exception.toString())
            false
        } catch (exception: IllegalStateException) {
            // The client is closed, as the process stops.
            logger.debug("connect failed target={} cause={}", target.name, exception.toString())
            false
        }

    /** Closes the idle connections to targets at addresses other than [addresses]. */
    fun keepOnly(addresses: Set<String>): Unit = idle.keepOnly(addresses)

    private suspend fun connect(
        target: DirectTarget,
        requestId: String,
        timeout: Duration,
    ): Result<TargetConnection, CallFault> {
        idle.take(target.address, requestId)?.let { return Ok(it) }
        val address =
            WireAddress.parse(target.address)
                ?: return Err(CallFault.NotSent("address is not IP:port: ${target.address}"))
        return try {
            val httpConnection =
                withTimeoutOrNull(minOf(timeout, CONNECT_TIMEOUT)) { client.connect(optionsFor(address)).coAwait() }
            if (httpConnection == null) {
                Err(CallFault.NotSent("connection timed out: ${target.address}"))
            } else {
                Ok(TargetConnection(target.address, httpConnection))
            }
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            logger.debug("connect failed target={} cause={}", target.name, exception.toString())
            Err(CallFault.NotSent(exception.toString()))
        }
    }

    private fun optionsFor(address: WireAddress) =
        HttpConnectOptions()
            .setHost(address.host)
            .setPort(address.port)
            .setConnectTimeout(CONNECT_TIMEOUT.inWholeMilliseconds)

    private companion object {
        /**
         * Bytes that one read of an answer takes. All chunks of a read are decoded at once, whether they are wanted or
         * not; 64 KiB of chunks of 9 bytes are thousands of objects for each answer.
         */
        const val READ_BYTES = 16 shl 10

        /** Time limit for opening a connection; targets are a few milliseconds away. */
        val CONNECT_TIMEOUT = 400.milliseconds

        /** Pauses before the checks whether a target refuses connections; a restart takes longer than all of them. */
        val REFUSAL_CHECK_PAUSES = listOf(0, 50, 200).map { it.milliseconds }
        val logger = LoggerFactory.getLogger(TargetClient::class.java)
    }
}

/** One request on one connection. */
private class TargetExchange(
    private val connection: TargetConnection,
    private val idle: IdleConnections,
    private val id: String,
    private val requestIdHeader: String,
    budget: AnswerBudget,
    private val age: () -> Duration,
) {
    private val share = budget.open(::endOverBudget)
    private val body = AnswerPieces { share.add(it.toLong()) }
    private val written = Promise.promise<Void>()
    private var isComplete = false
    private var hasTooManyInterimAnswers = false

    suspend fun run(request: TargetRequest): Result<TargetAnswer, CallFault> {
        var isSent = false
        connection.recordSent(id)
        return try {
            val options = RequestOptions().setMethod(request.method).setURI(request.uri).setHeaders(request.headers)
            val outgoing = connection.httpConnection.request(options).coAwait()
            isSent = true
            InterimAnswers.bound(outgoing, ::closeForInterimAnswers)
            val response = send(outgoing, request.body).coAwait()
            answerOf(response)
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            Err(if (isSent) CallFault.Lost(causeOf(exception)) else CallFault.NotSent(exception.toString()))
        }
    }

    /** Ends the exchange without an answer. */
    fun abort() {
        share.close()
        connection.close()
    }

    private fun endOverBudget(bytes: Long) {
        logger.warn("answer over budget request={} target={} bytes={}", id, connection.address, bytes)
        body.end(IOException("answer of $bytes bytes exceeds the budget for all answers"))
        connection.close()
    }

    private fun causeOf(exception: Exception): String =
        if (hasTooManyInterimAnswers) "more than ${InterimAnswers.MAXIMUM} interim answers" else exception.toString()

    /** Interim answers take up no memory, but a target that sends only these never gives a final answer. */
    private fun closeForInterimAnswers() {
        hasTooManyInterimAnswers = true
        connection.close()
    }

    private fun send(
        outgoing: HttpClientRequest,
        body: Buffer,
    ) = outgoing
        .response()
        .map(::listen)
        .also { BodyWriter(outgoing, body, written) { connection.isClosed }.write() }

    /** Sets the handlers before the first byte of the body can arrive. */
    private fun listen(response: HttpClientResponse): HttpClientResponse {
        body.listen(response, written.future()) { onBodyEnd(response) }
        return response
    }

    /**
     * Returns what is wrong with the answer, or null.
     *
     * Runs before the receiver is notified of the end, so that the connection is idle again when it asks for one.
     */
    private fun onBodyEnd(response: HttpClientResponse): IOException? {
        val connectionFault = connection.fault
        if (connectionFault != null) {
            return IOException("connection failed: $connectionFault")
        }
        isComplete = true
        if (isReusable(response)) idle.put(connection, keepAliveTimeout(response)) else connection.close()
        return null
    }

    private fun answerOf(response: HttpClientResponse): Result<TargetAnswer, CallFault> {
        val answerId = response.getHeader(requestIdHeader)
        if (answerId != id) {
            return Err(CallFault.Lost("answer belongs to another request: $answerId"))
        }
        JoinedHeads.secondStatusLine(response)?.let {
            return Err(CallFault.Lost("head contains the status line of another answer: $it"))
        }
        AnswerFraming.statusFault(response)?.let { return Err(CallFault.Lost(it)) }
        return Ok(
            TargetAnswer(response.statusCode(), response.headers(), body, share, age) {
                if (!isComplete) connection.close()
            },
        )
    }

    private fun isReusable(response: HttpClientResponse): Boolean =
        written.future().succeeded() &&
            AnswerFraming.hasLength(response) &&
            !connection.isUsedUp &&
            response.getHeader(requestIdHeader) == id &&
            JoinedHeads.secondStatusLine(response) == null &&
            AnswerFraming.statusFault(response) == null &&
            response.getHeader("connection")?.lowercase() != "close"

    private fun keepAliveTimeout(response: HttpClientResponse): Duration? =
        response
            .getHeader("keep-alive")
            ?.substringAfter("timeout=", "")
            ?.takeWhile { it.isDigit() }
            ?.toLongOrNull()
            ?.let { (it * MILLISECONDS_PER_SECOND).milliseconds }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1000
        val logger = LoggerFactory.getLogger(TargetExchange::class.java)
    }
}
