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
import tanagerlane.inventory.ServiceRoute
import tanagerlane.message.ServiceWork
import tanagerlane.message.Work
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import tanagerlane.model.ServiceName
import tanagerlane.model.WorkspaceName
import tanagerlane.platform.HopTracer
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Answers online requests.
 *
 * @param admit charges a request to its workspace; returns the refusal when it is over its rate and burst
 */
internal class OnlineRoutes(
    private val gate: Gate,
    private val admit: suspend (WorkspaceName, Instant) -> Refusal?,
    private val runner: RequestRunner,
    private val tracer: HopTracer,
    private val now: () -> Instant,
) {
    suspend fun models(exchange: CallerExchange) {
        binding {
            val state = gate.passOpen().bind()
            gate.workspaceOf(state, exchange).bind()
            val names =
                state.configuration.inventory.models
                    .map { ModelDocument(it.name) }
            ModelsDocument(data = names)
        }.onOk { exchange.sendJson(OK, ModelsDocument.serializer(), it) }
            .onErr { exchange.refuse(it) }
    }

    suspend fun chat(exchange: CallerExchange) {
        coroutineBinding {
            val state = gate.passOpen().bind()
            val workspace = gate.workspaceOf(state, exchange).bind()
            val work = state.chatParser.parse(exchange.body).bind()
            admitted(workspace).bind()
            requestOf(exchange, state, workspace, work, idempotent = true).bind()
        }.onOk { run(exchange, it, "chat") }
            .onErr { exchange.refuse(it) }
    }

    suspend fun service(
        exchange: CallerExchange,
        name: ServiceName,
        path: String,
    ) {
        coroutineBinding {
            val state = gate.passOpen().bind()
            val route = routeOf(state, name, path, exchange.method)
            val workspace = payerOf(route, state, exchange).bind()
            val served = route ?: Err(refusal(RefusalReason.NOT_FOUND)).bind()
            workspace?.let { admitted(it).bind() }
            val idempotent = exchange.method in served.repeatable
            requestOf(exchange, state, workspace, workOf(exchange, name, path), idempotent).bind()
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

    private fun payerOf(
        route: ServiceRoute?,
        state: EntryState,
        exchange: CallerExchange,
    ): Result<WorkspaceName?, Refusal> = if (route?.open == true) Ok(null) else gate.workspaceOf(state, exchange)

    private suspend fun admitted(workspace: WorkspaceName): Result<Unit, Refusal> {
        val refusal = admit(workspace, now())
        return if (refusal == null) Ok(Unit) else Err(refusal)
    }

    private fun workOf(
        exchange: CallerExchange,
        name: ServiceName,
        path: String,
    ): Work =
        ServiceWork(
            service = name,
            method = exchange.method,
            path = path,
            headers = exchange.passedHeaders(),
            body = exchange.body,
        )

    private fun requestOf(
        exchange: CallerExchange,
        state: EntryState,
        workspace: WorkspaceName?,
        work: Work,
        idempotent: Boolean,
    ): Result<OnlineRequest, Refusal> {
        val allowed = allowedTime(exchange) ?: state.rules.onlineDeadline
        if (allowed <= Duration.ZERO) {
            return Err(refusal(RefusalReason.DEADLINE_EXCEEDED))
        }
        val request =
            OnlineRequest(
                id = RequestId(UUID.randomUUID().toString()),
                workspace = workspace,
                idempotent = idempotent,
                deadline = now() + allowed,
                work = work,
                traceParent = exchange.header("traceparent"),
            )
        return Ok(request)
    }

    private fun allowedTime(exchange: CallerExchange): Duration? =
        exchange.header(TIMEOUT_HEADER)?.toLongOrNull()?.milliseconds

    private suspend fun run(
        exchange: CallerExchange,
        request: OnlineRequest,
        name: String,
    ) {
        val span = tracer.start("entry $name", request.traceParent)
        val events = Channel<AttemptEvent>(Channel.UNLIMITED)
        exchange.onGone { events.trySend(AttemptEvent.CallerGone) }
        val traced = request.copy(traceParent = span.traceParent)
        try {
            runner.run(traced, events, exchange.sink())
        } finally {
            span.end()
        }
    }

    private fun refusal(reason: RefusalReason) = Refusal(reason, RunState.NOT_RUN, reason.explanation)

    private companion object {
        const val OK = 200
        const val TIMEOUT_HEADER = "x-timeout-milliseconds"
    }
}
