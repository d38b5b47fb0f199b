package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.getOrElse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerRequest
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.callers.ConnectionBound
import tanagerlane.limits.SharedRates
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.serving.Entitlement
import tanagerlane.serving.ProcessorAdmission
import tanagerlane.serving.RouteKind
import tanagerlane.serving.ServingRoute
import tanagerlane.serving.ServingWorkspace
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Accepts callers' requests and dispatches or refuses them. */
internal class CallerService(
    private val connections: CallerConnections,
    private val scope: CoroutineScope,
    private val deployment: Deployment,
    private val online: OnlineHandler,
    private val promptGuard: PromptGuard,
    private val jobs: JobCallHandler,
    private val jobLookup: JobLookup,
    private val rates: SharedRates,
    private val metrics: DirectMetrics,
    private val state: ProcessState,
    private val now: () -> Instant,
) {
    private val open = LinkedHashSet<CallerExchange>()

    /** Number of requests that do not have a final answer yet. */
    val openRequests: Int get() = open.size

    /** Open connections and what is held for them, as members of a JSON object. */
    val status: String get() = connections.status

    /** Whether a request was not answered to its end, or the connection of one is still closing. */
    val hasOpenRequests: Boolean get() = open.isNotEmpty() || connections.hasOpenRequests

    /**
     * Listens for callers on [address], and for load balancer readiness checks on [readyAddress].
     *
     * If both are the same address, a readiness check is a request whose path no route has.
     */
    suspend fun listen(
        address: String,
        readyAddress: String?,
    ) {
        val hasOwnReadyAddress = readyAddress != null && readyAddress != address
        connections.listen(address) { request ->
            val call = callOf(request)
            val isCheck = call == CallerCall.Readiness && !hasOwnReadyAddress && routeFor(request) == null
            if (isCheck) answerCheck(request) else handle(request, call)
        }
        if (hasOwnReadyAddress) {
            connections.listen(readyAddress, ConnectionBound(READINESS_CONNECTIONS)) { request ->
                if (callOf(request) == CallerCall.Readiness) {
                    answerCheck(request)
                } else {
                    request.response().setStatusCode(NOT_FOUND).end()
                }
            }
        }
    }

    /** Closes the connections of callers that have no open request. */
    fun closeIdleConnections(): Unit = connections.closeIdle()

    /** Ends all requests, refuses those whose answer has not started, and closes all connections of callers. */
    suspend fun endAll() {
        open.take(MAXIMUM_LOGGED_REQUESTS).forEach(::logEnded)
        endOpen()
        // Requests that were sent ahead begin once those before them have ended, and are refused.
        withTimeoutOrNull(LAST_REFUSALS_TIME) { while (connections.hasOpenRequests) delay(LAST_REFUSALS_INTERVAL) }
        endOpen()
        connections.closeAll()
    }

    private fun endOpen() {
        for (exchange in open.toList()) {
            if (!exchange.isAnswerStarted) {
                exchange.refuse(CallerRefusal(RefusalReason.SHUTTING_DOWN, RunState.UNKNOWN))
            }
            exchange.onAborted("process is stopping")
        }
    }

    private fun logEnded(exchange: CallerExchange) {
        logger.warn(
            "request ended by stop request={} path={} age={} has_begun={}",
            exchange.id?.text,
            exchange.path,
            now() - exchange.arrivedAt,
            exchange.isAnswerStarted,
        )
    }

    /** Returns the call that [request] makes, or null for a call about a job whose query cannot be decoded. */
    private fun callOf(request: HttpServerRequest): CallerCall? {
        val query =
            try {
                request.params().entries().associate { it.key to it.value }
            } catch (_: IllegalArgumentException) {
                null
            }
        val call = deployment.classify(request.method().name(), request.path().orEmpty(), query.orEmpty())
        return call.takeUnless { query == null && it is CallerCall.JobCall }
    }

    private fun routeFor(request: HttpServerRequest): ServingRoute? =
        state.configuration()?.routeFor(request.authority()?.host().orEmpty(), request.path().orEmpty())

    private fun answerCheck(request: HttpServerRequest) {
        val status = if (state.isReady()) OK else SERVICE_UNAVAILABLE
        request.response().setStatusCode(status).end()
    }

    private fun handle(
        request: HttpServerRequest,
        call: CallerCall?,
    ) {
        val limit = state.configuration()?.limits?.maximumBodyBytes ?: DEFAULT_MAXIMUM_BODY_BYTES
        val gate = connections.gateOf(request.connection())
        if (gate == null) {
            logger.warn("request on a closed connection path={}", request.path())
            return
        }
        val exchange = CallerExchange(request, deployment.headers, now(), limit, state.isStopping, gate)
        open += exchange
        val job =
            scope.launch(start = CoroutineStart.UNDISPATCHED) {
                try {
                    serve(exchange, call)
                } catch (exception: CancellationException) {
                    if (isActive) return@launch handleFailure(exchange, exception)
                    val age = now() - exchange.arrivedAt
                    logger.info("{} request={} age={}", exception.message, exchange.id?.text, age)
                    throw exception
                } catch (exception: Throwable) {
                    handleFailure(exchange, exception)
                } finally {
                    open -= exchange
                }
            }
        exchange.onAborted = { cause -> job.cancel(CancellationException(cause)) }
    }

    /** Ends an exchange whose handler threw, or was cancelled by other than [CallerExchange.onAborted]; it is unknown whether the request has run. */
    private fun handleFailure(
        exchange: CallerExchange,
        failure: Throwable,
    ) {
        logger.error("handler failed request={} path={}", exchange.id?.text, exchange.path, failure)
        if (exchange.isAnswerStarted) {
            exchange.abort()
        } else {
            exchange.refuse(CallerRefusal(RefusalReason.INTERNAL, RunState.UNKNOWN))
        }
    }

    private suspend fun serve(
        exchange: CallerExchange,
        call: CallerCall?,
    ) {
        if (!state.acceptsRequests()) {
            // The body is read first: closing a connection while its body arrives would lose the refusal.
            exchange.body()
            return refuse(exchange, RefusalReason.SHUTTING_DOWN, STOP_RETRY_AFTER)
        }
        when (call) {
            is CallerCall.JobCall -> serveJobCall(exchange, call)
            CallerCall.Forward, CallerCall.Readiness -> forward(exchange)
            null -> refuse(exchange, RefusalReason.MALFORMED)
        }
    }

    private suspend fun serveJobCall(
        exchange: CallerExchange,
        call: CallerCall.JobCall,
    ) {
        val configuration = state.configuration() ?: return refuse(exchange, RefusalReason.CONFIGURATION_STALE)
        val found =
            withTimeoutOrNull(exchange.readDeadline() - now()) {
                jobLookup.find(call.job, exchange, configuration, state.isCurrent())
            } ?: Err(RefusalReason.STORE_UNAVAILABLE)
        val record = found.getOrElse { return refuse(exchange, it) }
        if (record == null) forward(exchange) else jobs.serve(exchange, call, record)
    }

    private suspend fun forward(exchange: CallerExchange) {
        val entitlement =
            Entitlement.of(state.configuration(), state.isCurrent(), exchange.host, exchange.path, exchange.key)
        when (entitlement) {
            is Entitlement.Denied -> refuse(exchange, entitlement.reason)
            is Entitlement.Granted -> serveGranted(exchange, entitlement.route, entitlement.workspace)
        }
    }

    private suspend fun serveGranted(
        exchange: CallerExchange,
        route: ServingRoute,
        workspace: ServingWorkspace?,
    ) {
        val jobTerms = route.job
        if (route.kind == RouteKind.BATCH && jobTerms != null && exchange.method == HttpMethod.POST) {
            return jobs.submit(exchange, route, jobTerms, state.configuration()?.workspaceOf(exchange.key))
        }
        val id = exchange.id?.text ?: return refuse(exchange, RefusalReason.MALFORMED)
        val parts = exchange.promptParts?.let(deployment.sharedParts).orEmpty()
        promptGuard.findQuarantined(parts)?.let {
            return refuse(exchange, RefusalReason.QUARANTINED, it.until - now())
        }
        ProcessorAdmission.retryAfter(state.processorDelay(), route.objective)?.let {
            return refuse(exchange, RefusalReason.OVERLOADED, it)
        }
        val wait = workspace?.let { rates.admit(it.name, state.entries(), now()) }
        if (wait != null) {
            return refuse(exchange, RefusalReason.RATE_LIMITED, wait)
        }
        val body = exchange.body().getOrElse { return refuse(exchange, it) }
        if (!state.acceptsRequests()) {
            return refuse(exchange, RefusalReason.SHUTTING_DOWN, STOP_RETRY_AFTER)
        }
        val service = route.serviceFor(exchange.id) ?: return refuse(exchange, RefusalReason.NO_TARGET)
        val deadline = exchange.deadline(route.timeout)
        online.serve(OnlineRequest(exchange, id, route, service, workspace, body, deadline, parts))
    }

    private fun refuse(
        exchange: CallerExchange,
        reason: RefusalReason,
        retryAfter: Duration = RETRY_AFTER,
    ) {
        metrics.refused(reason).increment()
        logger.info(
            "request refused request={} reason={} run_state=NOT_RUN host={} path={} revision={} current={} " +
                "processor_delay={} retry_after={}",
            exchange.id?.text,
            reason,
            exchange.host,
            exchange.path,
            state.configuration()?.revision,
            state.isCurrent(),
            state.processorDelay(),
            retryAfter,
        )
        exchange.refuse(CallerRefusal(reason, RunState.NOT_RUN), retryAfter)
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val SERVICE_UNAVAILABLE = 503
        const val DEFAULT_MAXIMUM_BODY_BYTES = 4 * 1024 * 1024

        /** Maximum number of open requests that are logged when the process stops. */
        const val MAXIMUM_LOGGED_REQUESTS = 100

        /** Bound on the connections of load balancers that check readiness at an address of its own. */
        const val READINESS_CONNECTIONS = 64
        val RETRY_AFTER = 200.milliseconds

        /** Time limit for the refusal of requests that were sent ahead, at the end of a stop. */
        val LAST_REFUSALS_TIME = 100.milliseconds
        val LAST_REFUSALS_INTERVAL = 5.milliseconds

        /** Retry delay while this process stops; a retry reaches the rest of the fleet, without this process. */
        val STOP_RETRY_AFTER = 10.milliseconds
        val logger = LoggerFactory.getLogger(CallerService::class.java)
    }
}
