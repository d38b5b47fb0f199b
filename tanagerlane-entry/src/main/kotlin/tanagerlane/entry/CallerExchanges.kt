package tanagerlane.entry

import io.vertx.core.Vertx
import io.vertx.ext.web.RoutingContext
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.model.WorkspaceName
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the handlers of callers' requests and ends each request whose handler does not.
 *
 * @param record records each refusal before it is sent to the caller
 * @param draining whether callers should close their connections after the next response
 */
internal class CallerExchanges(
    private val vertx: Vertx,
    private val record: suspend (WorkspaceName?, CallerRefusal) -> Unit,
    private val draining: () -> Boolean,
) {
    private val scope = CoroutineScope(SupervisorJob())
    private val open = AtomicInteger()

    /** Number of requests that are not answered yet. */
    val openRequests: Int get() = open.get()

    /** Answers the request of [context] with [handle]; it is called on the event loop of the request. */
    fun launch(
        context: RoutingContext,
        handle: suspend (CallerExchange) -> Unit,
    ) {
        open.incrementAndGet()
        // Handlers begin at once, since one that is cancelled before it begins would end nothing.
        scope.launch(vertx.orCreateContext.dispatcher(), CoroutineStart.UNDISPATCHED) {
            if (draining()) {
                context.response().putHeader("connection", "close")
            }
            val exchange = CallerExchange(context, record)
            try {
                handle(exchange)
                ensureActive()
            } catch (exception: IOException) {
                if (context.response().closed()) {
                    logger.debug("caller disconnected", exception)
                } else {
                    end(context, exchange, RefusalReason.INTERNAL, exception)
                }
            } catch (failure: Throwable) {
                // Errors such as StackOverflowError are handled like exceptions.
                val isStopped = failure is CancellationException && !isActive
                end(
                    context,
                    exchange,
                    if (isStopped) RefusalReason.OUTCOME_UNKNOWN else RefusalReason.INTERNAL,
                    failure,
                )
            } finally {
                open.decrementAndGet()
            }
        }
    }

    /** Cancels the handlers, and refuses the requests whose answers have not begun; their outcome is unknown. */
    suspend fun endAll() {
        withTimeoutOrNull(LAST_REFUSALS_TIME) { scope.coroutineContext.job.cancelAndJoin() }
    }

    private suspend fun end(
        context: RoutingContext,
        exchange: CallerExchange,
        reason: RefusalReason,
        failure: Throwable,
    ) {
        val response = context.response()
        if (response.ended()) {
            return
        }
        val request = "${exchange.method} ${exchange.uri}"
        logger.error("handler failed request={} workspace={}", request, exchange.workspace, failure)
        if (response.headWritten()) {
            response.reset()
            return
        }
        try {
            withContext(NonCancellable) {
                exchange.refuse(CallerRefusal(reason, RunState.UNKNOWN, reason.explanation))
            }
        } catch (exception: Exception) {
            logger.error("refusal not recorded request={}", request, exception)
            if (!response.ended()) response.setStatusCode(reason.httpStatus).end()
        }
    }

    private companion object {
        /** Time limit for the refusals of open requests when the process stops. */
        val LAST_REFUSALS_TIME = 1.seconds
        val logger = LoggerFactory.getLogger(CallerExchanges::class.java)
    }
}
