package tanagerlane.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.coroutines.coroutineBinding
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import kotlinx.coroutines.channels.Channel
import tanagerlane.attempts.AttemptEvent
import tanagerlane.caller.ModelDocument
import tanagerlane.caller.ModelsDocument
import tanagerlane.idempotency.IdempotencyKey
import tanagerlane.inventory.ServiceRoute
import tanagerlane.message.Repeat
import tanagerlane.message.RouteLimit
import tanagerlane.message.ServiceWork
import tanagerlane.message.Work
import tanagerlane.message.WorkspaceLimit
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import tanagerlane.model.ServiceName
import tanagerlane.model.WorkspaceName
import tanagerlane.runtime.HopTracer
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/** Handles the routes of online requests: models, chat completions and services. */
internal class OnlineRoutes(
    private val access: CallerAccess,
    private val charger: RateCharger,
    private val runner: RequestRunner,
    private val tracer: HopTracer,
    private val now: () -> Instant,
) {
    /** Lists the models. */
    suspend fun models(exchange: CallerExchange) {
        binding {
            val state = access.servingState().bind()
            access.authenticate(state, exchange).bind()
            val names =
                state.configuration.inventory.models
                    .map { ModelDocument(it.name) }
            ModelsDocument(data = names)
        }.onOk { exchange.sendJson(OK, ModelsDocument.serializer(), it) }
            .onErr { exchange.refuse(it) }
    }

    /** Runs a chat completion. */
    suspend fun chat(exchange: CallerExchange) {
        coroutineBinding {
            val state = access.servingState().bind()
            val workspace = access.authenticate(state, exchange).bind()
            val work = state.chatParser.parse(exchange.body).bind()
            val timeout = timeoutOf(exchange, state).bind()
            val repeat = repeatOf(exchange, workspace, work).bind()
            val charge = charger.charge(WorkspaceLimit(workspace)).bind()
            requestOf(exchange, timeout, charge, work, idempotent = true).copy(repeat = repeat)
        }.onOk { run(exchange, it, "chat") }
            .onErr { exchange.refuse(it) }
    }

    /** Runs a call to the service [name]; [path] is the path and query below the service. */
    suspend fun service(
        exchange: CallerExchange,
        name: ServiceName,
        path: String,
    ) {
        coroutineBinding {
            val state = access.servingState().bind()
            val route = routeOf(state, name, path, exchange.method)
            val workspace = authenticateUnlessOpen(route, state, exchange).bind()
            val declared = route ?: Err(refusal(RefusalReason.NOT_FOUND)).bind()
            val timeout = timeoutOf(exchange, state).bind()
            val work = workOf(exchange, name, path)
            val repeat = repeatOf(exchange, workspace, work).bind()
            val key = workspace?.let { WorkspaceLimit(it) } ?: RouteLimit(name, declared.prefix)
            val charge = charger.charge(key).bind()
            requestOf(exchange, timeout, charge, work, exchange.method in declared.repeatable).copy(repeat = repeat)
        }.onOk { run(exchange, it, "service") }
            .onErr { exchange.refuse(it) }
    }

    private fun routeOf(
        state: EntryState,
        name: ServiceName,
        path: String,
        method: String,
    ): ServiceRoute? =
        state
            .service(name)
            ?.routes
            ?.filter { path.startsWith(it.prefix) }
            ?.maxByOrNull { it.prefix.length }
            ?.takeIf { method in it.methods }

    private fun authenticateUnlessOpen(
        route: ServiceRoute?,
        state: EntryState,
        exchange: CallerExchange,
    ): Result<WorkspaceName?, CallerRefusal> =
        if (route?.open == true) Ok(null) else access.authenticate(state, exchange)

    private fun workOf(
        exchange: CallerExchange,
        name: ServiceName,
        path: String,
    ): Work =
        ServiceWork(
            service = name,
            method = exchange.method,
            path = path,
            headers = exchange.forwardedHeaders(),
            body = exchange.body,
        )

    private fun requestOf(
        exchange: CallerExchange,
        timeout: Duration,
        charge: Charge,
        work: Work,
        idempotent: Boolean,
    ): OnlineRequest =
        OnlineRequest(
            id = RequestId(UUID.randomUUID().toString()),
            workspace = exchange.workspace,
            charge = charge,
            idempotent = idempotent,
            deadline = now() + timeout,
            work = work,
            traceParent = exchange.header("traceparent"),
            repeat = null,
        )

    /** Idempotency key of the request, or null if none was sent; the key of a request without workspace is ignored. */
    private fun repeatOf(
        exchange: CallerExchange,
        workspace: WorkspaceName?,
        work: Work,
    ): Result<Repeat?, CallerRefusal> {
        val key = exchange.header(KEY_HEADER)
        return when {
            key == null || workspace == null -> Ok(null)
            key.isEmpty() || key.length > MAX_KEY_LENGTH -> Err(malformed("Header $KEY_HEADER is empty or too long."))
            else -> Ok(Repeat(IdempotencyKey(key), workDigest(work)))
        }
    }

    private fun timeoutOf(
        exchange: CallerExchange,
        state: EntryState,
    ): Result<Duration, CallerRefusal> {
        val requested = exchange.header(TIMEOUT_HEADER) ?: return Ok(state.rules.onlineDeadline)
        val milliseconds = requested.toLongOrNull()
        return when {
            milliseconds == null -> Err(malformed("Header $TIMEOUT_HEADER is not a whole number: $requested"))
            milliseconds <= 0 -> Err(refusal(RefusalReason.DEADLINE_EXCEEDED))
            else -> Ok(milliseconds.milliseconds)
        }
    }

    private fun malformed(explanation: String) = CallerRefusal(RefusalReason.MALFORMED, RunState.NOT_RUN, explanation)

    private suspend fun run(
        exchange: CallerExchange,
        request: OnlineRequest,
        name: String,
    ) {
        val span = tracer.start("entry $name", request.traceParent)
        val events = Channel<AttemptEvent>(Channel.UNLIMITED)
        exchange.onDisconnected { events.trySend(AttemptEvent.CallerDisconnected) }
        val traced = request.copy(traceParent = span.traceParent)
        try {
            runner.run(traced, events, exchange.sink())
        } finally {
            span.end()
        }
    }

    private fun refusal(reason: RefusalReason) = CallerRefusal(reason, RunState.NOT_RUN, reason.explanation)

    private companion object {
        const val OK = 200
        const val KEY_HEADER = "idempotency-key"
        const val MAX_KEY_LENGTH = 255
        const val TIMEOUT_HEADER = "x-timeout-milliseconds"
    }
}
