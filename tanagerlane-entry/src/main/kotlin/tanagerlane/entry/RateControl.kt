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
 * Charges requests to rates that all entries share.
 *
 * @param send passes a message to another entry; it may be lost
 */
internal class RateControl(
    private val limiter: FleetLimiter,
    private val send: (OutgoingMessage) -> Unit,
    private val now: () -> Instant,
) {
    private val questions = ConcurrentHashMap<Long, CompletableDeferred<Admission>>()

    /** Charges one request to [key]; the refusal says when to try again. */
    suspend fun admit(key: LimitKey): Result<Permit, CallerRefusal> =
        when (val admission = limiter.admit(key, now())) {
            is Admission.Pending -> conclude(askPool(admission))
            else -> conclude(admission)
        }

    /** Notes that the request of [permit] has arrived at a sidecar or was given up. */
    fun settle(permit: Permit) {
        limiter.settle(permit, now())
    }

    /** Takes a message of another entry. */
    fun receive(
        from: HostName,
        message: WireMessage,
    ) {
        perform(limiter.receive(from, message, now()))
    }

    /** Puts the rates of [inventory] in force. */
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

    /** Lets time pass for the limiter; returns only by cancellation. */
    suspend fun tickLoop() {
        while (true) {
            perform(limiter.tick(now()))
            delay(TICK)
        }
    }

    private suspend fun askPool(question: Admission.Pending): Admission {
        val answer = CompletableDeferred<Admission>()
        questions[question.number] = answer
        question.outgoing.forEach(send)
        try {
            return withTimeoutOrNull(ANSWER_BOUND) { answer.await() } ?: Admission.Refused(DEFAULT_RETRY)
        } finally {
            questions.remove(question.number)
        }
    }

    private fun perform(reaction: LimiterOutput) {
        reaction.outgoing.forEach(send)
        reaction.decisions.forEach { questions.remove(it.number)?.complete(it.admission) }
    }

    private fun conclude(admission: Admission): Result<Permit, CallerRefusal> =
        when (admission) {
            is Admission.Admitted -> Ok(admission.permit)
            is Admission.Refused -> Err(refusal(admission.retryAfter))
            is Admission.Pending -> Err(refusal(DEFAULT_RETRY))
        }

    private fun refusal(retryAfter: Duration) =
        CallerRefusal(RefusalReason.RATE_LIMITED, RunState.NOT_RUN, RefusalReason.RATE_LIMITED.explanation, retryAfter)

    companion object {
        /** Time for which a permit is valid; entries and sidecars must agree on it. */
        val PERMIT_VALIDITY: Duration = LimitTimes().permitValidity

        private val TICK = 100.milliseconds
        private val ANSWER_BOUND = 1.seconds
        private val DEFAULT_RETRY = 1.seconds
    }
}
