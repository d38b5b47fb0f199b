package tanagerlane.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import tanagerlane.inventory.Inventory
import tanagerlane.limits.Admission
import tanagerlane.limits.FleetLimiter
import tanagerlane.limits.Limit
import tanagerlane.limits.LimitTimes
import tanagerlane.limits.LimiterOutput
import tanagerlane.limits.OutgoingMessage
import tanagerlane.limits.Permit
import tanagerlane.limits.Rate
import tanagerlane.message.LimitKey
import tanagerlane.message.RouteLimit
import tanagerlane.message.WireMessage
import tanagerlane.message.WorkspaceLimit
import tanagerlane.model.HostName
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Admits requests within the rates that all entries share.
 *
 * @param send sends a message to another entry; it may be lost
 */
internal class RateControl(
    private val limiter: FleetLimiter,
    private val send: (OutgoingMessage) -> Unit,
    private val now: () -> Instant,
) {
    private val pendingAdmissions = ConcurrentHashMap<Long, CompletableDeferred<Admission>>()

    /** Charges one request to [key]; a refusal gives the time after which to try again. */
    suspend fun admit(key: LimitKey): Result<Permit, CallerRefusal> =
        when (val admission = limiter.admit(key, now())) {
            is Admission.Pending -> toResult(askPool(admission))
            else -> toResult(admission)
        }

    /** Must be called for each permit once its request has arrived at a sidecar or was abandoned. */
    fun settle(permit: Permit) {
        limiter.settle(permit, now())
    }

    /** Handles a message from the entry [from]; messages that do not concern rates are ignored. */
    fun receive(
        from: HostName,
        message: WireMessage,
    ) {
        execute(limiter.receive(from, message, now()))
    }

    /** Replaces all rates with those of the workspaces and open routes in [inventory]. */
    fun configure(inventory: Inventory) {
        val workspaces =
            inventory.workspaces.map { Limit(WorkspaceLimit(it.name), Rate(it.rate, it.burst)) }
        val routes =
            inventory.services.flatMap { service ->
                service.routes.filter { it.open }.map { route ->
                    Limit(RouteLimit(service.name, route.prefix), Rate(route.rate, route.burst))
                }
            }
        limiter.configure(workspaces + routes, now())
    }

    /** Runs the limiter's periodic work every [TICK_INTERVAL]; returns only by cancellation. */
    suspend fun tickLoop() {
        while (true) {
            execute(limiter.tick(now()))
            delay(TICK_INTERVAL)
        }
    }

    private suspend fun askPool(pending: Admission.Pending): Admission {
        val answer = CompletableDeferred<Admission>()
        pendingAdmissions[pending.number] = answer
        pending.outgoing.forEach(send)
        try {
            return withTimeoutOrNull(POOL_TIMEOUT) { answer.await() } ?: Admission.Refused(DEFAULT_RETRY_DELAY)
        } finally {
            pendingAdmissions.remove(pending.number)
        }
    }

    private fun execute(output: LimiterOutput) {
        output.outgoing.forEach(send)
        output.decisions.forEach { pendingAdmissions.remove(it.number)?.complete(it.admission) }
    }

    private fun toResult(admission: Admission): Result<Permit, CallerRefusal> =
        when (admission) {
            is Admission.Admitted -> Ok(admission.permit)
            is Admission.Refused -> Err(refusal(admission.retryAfter))
            is Admission.Pending -> Err(refusal(DEFAULT_RETRY_DELAY))
        }

    private fun refusal(retryAfter: Duration) =
        CallerRefusal(RefusalReason.RATE_LIMITED, RunState.NOT_RUN, RefusalReason.RATE_LIMITED.explanation, retryAfter)

    companion object {
        /** Time for which a permit is valid; entries and sidecars must use the same value. */
        val PERMIT_VALIDITY: Duration = LimitTimes().permitValidity

        private val TICK_INTERVAL = 100.milliseconds
        private val POOL_TIMEOUT = 1.seconds
        private val DEFAULT_RETRY_DELAY = 1.seconds
    }
}
