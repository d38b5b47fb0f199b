package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.CompletableDeferred
import tanagerlane.admission.WaitingRequest
import tanagerlane.model.RefusalReason
import tanagerlane.model.ServiceName
import tanagerlane.places.DirectTarget
import tanagerlane.places.Placement
import kotlin.time.Instant

/**
 * Streams that wait for a place at a target of the software version that began them.
 *
 * They do not wait in the order of all others, where one whose version is full would hold up requests that have a place
 * at another version. They go first, as work was done for them already.
 *
 * @param placeFor selects a target
 * @param occupy takes a place there
 * @param giveBack gives a place back
 */
internal class VersionWaiters(
    private val placeFor: (OnlineRequest) -> Placement,
    private val occupy: (WaitingRequest, DirectTarget) -> HeldPlace,
    private val giveBack: (HeldPlace) -> Unit,
) {
    private val waiters = LinkedHashSet<Waiter>()

    val isEmpty: Boolean get() = waiters.isEmpty()

    /** Waits for a place for [request] until [WaitingRequest.deadline], or its objective if it can be refused as not run. */
    suspend fun await(
        request: OnlineRequest,
        wanted: WaitingRequest,
    ): Result<HeldPlace, RefusalReason> {
        if (wanted.mayRefuse && waiters.size >= MAXIMUM_WAITERS) {
            return Err(RefusalReason.OVERLOADED)
        }
        val waiter = Waiter(request, wanted)
        waiters += waiter
        var isReturned = false
        try {
            return waiter.outcome.await().also { isReturned = true }
        } finally {
            waiters -= waiter
            if (!isReturned) {
                waiter.place?.let(giveBack)
            }
        }
    }

    /** Sends those for [service] that have a place now, and ends those whose version or time is gone at [now]. */
    fun sendNext(
        service: ServiceName,
        now: Instant,
    ) {
        for (waiter in waiters.filter { it.wanted.service == service }) {
            val outcome = outcomeOf(waiter, now) ?: continue
            waiters -= waiter
            waiter.place = outcome.get()
            waiter.outcome.complete(outcome)
        }
    }

    /** Does [sendNext] for all services. */
    fun sendAll(now: Instant): Unit = waiters.mapTo(HashSet()) { it.wanted.service }.forEach { sendNext(it, now) }

    private fun outcomeOf(
        waiter: Waiter,
        now: Instant,
    ): Result<HeldPlace, RefusalReason>? =
        when (val placement = placeFor(waiter.request)) {
            is Placement.At -> Ok(occupy(waiter.wanted, placement.target))
            Placement.NoTarget -> Err(RefusalReason.NO_TARGET)
            Placement.Full -> if (now >= waiter.until) Err(RefusalReason.OVERLOADED) else null
        }

    private class Waiter(
        val request: OnlineRequest,
        val wanted: WaitingRequest,
    ) {
        val outcome = CompletableDeferred<Result<HeldPlace, RefusalReason>>()

        /** The place that was given to the request, or null. */
        var place: HeldPlace? = null
        val until: Instant =
            if (wanted.mayRefuse) minOf(wanted.arrivedAt + wanted.objective, wanted.deadline) else wanted.deadline
    }

    private companion object {
        /** Waiting streams from which on those that can be refused as not run do not wait. */
        const val MAXIMUM_WAITERS = 100
    }
}
