package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import tanagerlane.admission.PlaceFinder
import tanagerlane.admission.WaitingDecision
import tanagerlane.admission.WaitingRequest
import tanagerlane.admission.WaitingRequests
import tanagerlane.model.RefusalReason
import tanagerlane.model.ServiceName
import tanagerlane.places.DirectTarget
import tanagerlane.places.Placement
import tanagerlane.places.PlacementRequest
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Holds callers' requests that find no place until one becomes free or they are refused.
 *
 * It is woken when a request of this process ends, and every 10 ms while requests wait, which covers the reports of other
 * processes. All calls come from the event loop of the process.
 */
internal class PlaceQueue(
    private val finder: PlaceFinder,
    private val rules: TargetRules,
    private val queue: WaitingRequests,
    private val scope: CoroutineScope,
    private val metrics: DirectMetrics,
    private val now: () -> Instant,
) {
    private val waiters = HashMap<Long, Waiter>()
    private val weights = WorkspaceWeights()
    private val versionWaiters = VersionWaiters(::placeFor, ::occupy, ::giveBack)
    private var requests = 0L
    private var isTicking = false

    init {
        metrics.observe(queue)
    }

    /** Finds a place for [request]; the place must be given back with [leave]. */
    suspend fun find(request: OnlineRequest): Result<HeldPlace, RefusalReason> {
        val wanted = wantedBy(request)
        if (request.triedTargets.isEmpty()) {
            queue.arrived(wanted, now())
        }
        if (request.origin != null && placeFor(request) == Placement.NoTarget) {
            return Err(RefusalReason.NO_TARGET)
        }
        val isBound = rules.isBound(request)
        if (isBound || queue.mayPass(wanted, { free(request.service) }, now())) {
            when (val placement = placeFor(request)) {
                is Placement.At -> return Ok(occupy(wanted, placement.target))
                Placement.NoTarget -> return Err(RefusalReason.NO_TARGET)
                Placement.Full -> Unit
            }
        }
        if (isBound) {
            startTicking()
            return versionWaiters.await(request, wanted)
        }
        return waitFor(Waiter(request, wanted, now()))
    }

    /** Takes a place for [request] at a target that [placement] permits; returns null unless one is free now. */
    fun take(
        request: OnlineRequest,
        placement: PlacementRequest,
    ): HeldPlace? {
        val wanted = wantedBy(request)
        if (!queue.mayPass(wanted, { free(request.service) }, now())) return null
        val target = (finder.find(placement, now()) as? Placement.At)?.target ?: return null
        return if (finder.isBusy(target.name, target.places, now())) null else occupy(wanted, target)
    }

    /**
     * Gives the place of [admitted] at [target] back.
     *
     * @param isRejected whether the target has rejected the request
     * @param hasAnswered whether the request has got its final answer there
     */
    fun leave(
        target: DirectTarget,
        admitted: WaitingRequest,
        isRejected: Boolean,
        hasAnswered: Boolean,
    ) {
        if (isRejected) {
            finder.rejected(target.name, now())
        } else {
            finder.ended(target.name, hasAnswered, now())
        }
        queue.ended(admitted, hasAnswered, now())
        sendNext(admitted.service)
    }

    private suspend fun waitFor(waiter: Waiter): Result<HeldPlace, RefusalReason> {
        when (val decision = queue.add(waiter.wanted, now())) {
            is WaitingDecision.Refused -> waiter.refuse(decision)
            WaitingDecision.Waits -> begin(waiter)
        }
        try {
            return waiter.outcome.await()
        } catch (exception: CancellationException) {
            abandon(waiter)
            throw exception
        }
    }

    private fun begin(waiter: Waiter) {
        waiters[waiter.wanted.number] = waiter
        sendNext(waiter.wanted.service)
        if (waiter.isWaiting) {
            (queue.decide(waiter.wanted, now()) as? WaitingDecision.Refused)?.let(::refuse)
        }
        if (waiter.isWaiting) {
            startTicking()
        }
    }

    private fun startTicking() {
        if (!isTicking) {
            isTicking = true
            scope.launch { tick() }
        }
    }

    private suspend fun tick() {
        try {
            do {
                delay(TICK)
                versionWaiters.sendAll(now())
                queue.expired(now()).forEach(::refuse)
                queue.services.forEach(::sendNext)
            } while (queue.size > 0 || !versionWaiters.isEmpty)
        } finally {
            isTicking = false
        }
    }

    /** Sends waiting requests of [service] to targets as long as there are places for them. */
    private fun sendNext(service: ServiceName) {
        versionWaiters.sendNext(service, now())
        while (true) {
            val next = queue.next(service, { free(service) }, now()) ?: return
            val waiter = waiters.getValue(next.number)
            when (val placement = placeFor(waiter.request)) {
                is Placement.At -> {
                    val isLate = queue.isLate(next)
                    if (isLate && finder.isBusy(placement.target.name, placement.target.places, now())) return
                    waiters.remove(next.number)
                    metrics.waited(if (isLate) "sent_late" else "sent", now() - waiter.since)
                    val place = occupy(next, placement.target)
                    waiter.place = place
                    waiter.outcome.complete(Ok(place))
                }

                Placement.NoTarget -> {
                    queue.remove(next)
                    waiters.remove(next.number)
                    metrics.waited("no_target", now() - waiter.since)
                    waiter.outcome.complete(Err(RefusalReason.NO_TARGET))
                }

                Placement.Full -> {
                    if (!rules.isBound(waiter.request)) return
                    waitForVersion(waiter)
                }
            }
        }
    }

    /** Takes [waiter], whose version is full while others may not be, out of the order of all others. */
    private fun waitForVersion(waiter: Waiter) {
        queue.remove(waiter.wanted)
        waiters.remove(waiter.wanted.number)
        scope.launch {
            val outcome = versionWaiters.await(waiter.request, waiter.wanted)
            waiter.place = outcome.get()
            if (!waiter.outcome.complete(outcome)) {
                waiter.place?.let(::giveBack)
            }
        }
        startTicking()
    }

    private fun refuse(refused: WaitingDecision.Refused) {
        waiters.remove(refused.request.number)?.refuse(refused)
    }

    /** Removes a request whose caller has left; a place that it has just been given is free again. */
    private fun abandon(waiter: Waiter) {
        if (waiters.remove(waiter.wanted.number) != null) {
            queue.remove(waiter.wanted)
            metrics.waited("left", now() - waiter.since)
            return
        }
        // A place that it is given later is given back at once.
        waiter.outcome.cancel()
        waiter.place?.let(::giveBack)
    }

    private fun occupy(
        wanted: WaitingRequest,
        target: DirectTarget,
    ): HeldPlace {
        finder.sent(target.name)
        queue.sent(wanted, now())
        return HeldPlace(target, wanted)
    }

    private fun giveBack(place: HeldPlace) {
        place.admitted?.let { leave(place.target, it, isRejected = false, hasAnswered = false) }
    }

    private fun placeFor(request: OnlineRequest): Placement = finder.find(request.placement(rules), now())

    private fun free(service: ServiceName): Int = finder.free(service, now())

    private fun wantedBy(request: OnlineRequest): WaitingRequest {
        val arrivedAt = request.exchange.arrivedAt
        return WaitingRequest(
            number = ++requests,
            service = request.service,
            route = request.route.name,
            workspace = request.workspace?.name,
            weight = weights.of(request.workspace?.rate),
            priority = request.workspace?.priority ?: request.route.priority,
            arrivedAt = arrivedAt,
            objective = request.route.objective,
            deadline = request.deadline,
            bytes = request.body.length(),
            mayRefuse = request.possibleRuns == 0 && !request.isAnswerStarted,
            mayBeRetry = request.deadline - arrivedAt < request.route.timeout * FIRST_ATTEMPT_SHARE,
        )
    }

    private inner class Waiter(
        val request: OnlineRequest,
        val wanted: WaitingRequest,
        val since: Instant,
    ) {
        val outcome = CompletableDeferred<Result<HeldPlace, RefusalReason>>()
        val isWaiting: Boolean get() = wanted.number in waiters

        /** The place that was given to the request, or null. */
        var place: HeldPlace? = null

        fun refuse(refused: WaitingDecision.Refused) {
            request.waitingRefusal = refused
            metrics.waited(refused.reason.name.lowercase(), now() - since)
            outcome.complete(Err(RefusalReason.OVERLOADED))
        }
    }

    private companion object {
        val TICK = 10.milliseconds

        /** Part of the timeout of its route that the time of a first attempt has at least; a retry has less left. */
        const val FIRST_ATTEMPT_SHARE = 0.95
    }
}
