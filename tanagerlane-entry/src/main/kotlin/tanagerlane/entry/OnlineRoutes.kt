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

/**
 * Answers online requests.
 */
internal class OnlineRoutes(
    private val access: CallerAccess,
    private val charger: RateCharger,
    private val runner: RequestRunner,
    private val tracer: HopTracer,
    private val now: () -> Instant,
) {
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

    suspend fun chat(exchange: CallerExchange) {
        coroutineBinding {
            val state = access.servingState().bind()
            val workspace = access.authenticate(state, exchange).bind()
            val work = state.chatParser.parse(exchange.body).bind()
            val allowed = allowedTime(exchange, state).bind()
            val repeat = repeatOf(exchange, workspace, work).bind()
            val charge = charger.charge(WorkspaceLimit(workspace)).bind()
            requestOf(exchange, allowed, charge, work, idempotent = true).copy(repeat = repeat)
        }.onOk { run(exchange, it, "chat") }
            .onErr { exchange.refuse(it) }
    }

    suspend fun service(
        exchange: CallerExchange,
        name: ServiceName,
        path: String,
    ) {
        coroutineBinding {
            val state = access.servingState().bind()
            val route = routeOf(state, name, path, exchange.method)
            val workspace = payerOf(route, state, exchange).bind()
            val served = route ?: Err(refusal(RefusalReason.NOT_FOUND)).bind()
            val allowed = allowedTime(exchange, state).bind()
            val work = workOf(exchange, name, path)
            val repeat = repeatOf(exchange, workspace, work).bind()
            val key = workspace?.let { WorkspaceLimit(it) } ?: RouteLimit(name, served.prefix)
            val charge = charger.charge(key).bind()
            requestOf(exchange, allowed, charge, work, exchange.method in served.repeatable).copy(repeat = repeat)
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
    ): Result<WorkspaceName?, CallerRefusal> =
        if (route?.open ==
            true
        ) {
            Ok(null)
        } else {
            access.authenticate(state, exchange)
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
        allowed: Duration,
        charge: Charge,
        work: Work,
        idempotent: Boolean,
    ): OnlineRequest =
        OnlineRequest(
            id = RequestId(UUID.randomUUID().toString()),
            workspace = exchange.workspace,
            charge = charge,
            idempotent = idempotent,
            deadline = now() + allowed,
            work = work,
            traceParent = exchange.header("traceparent"),
            repeat = null,
        )

    /** The key for repeats, where one was sent; requests that belong to no workspace have none. */
    private fun repeatOf(
        exchange: CallerExchange,
        workspace: WorkspaceName?,
        work: Work,
    ): Result<Repeat?, CallerRefusal> {
        val key = exchange.header(REPEAT_HEADER)
        return when {
            key == null || workspace == null -> Ok(null)
            key.isEmpty() || key.length > MAXIMUM_REPEAT_KEY -> Err(malformed("The header $REPEAT_HEADER is too long."))
            else -> Ok(Repeat(IdempotencyKey(key), workDigest(work)))
        }
    }

    private fun allowedTime(
        exchange: CallerExchange,
        state: EntryState,
    ): Result<Duration, CallerRefusal> {
        val asked = exchange.header(TIMEOUT_HEADER) ?: return Ok(state.rules.onlineDeadline)
        val milliseconds = asked.toLongOrNull()
        return when {
            milliseconds == null -> Err(malformed("The header $TIMEOUT_HEADER is not a number: $asked"))
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
        exchange.onGone { events.trySend(AttemptEvent.CallerDisconnected) }
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
        const val REPEAT_HEADER = "idempotency-key"
        const val MAXIMUM_REPEAT_KEY = 255
        const val TIMEOUT_HEADER = "x-timeout-milliseconds"
    }
}
