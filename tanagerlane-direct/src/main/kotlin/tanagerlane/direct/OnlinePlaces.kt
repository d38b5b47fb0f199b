package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import tanagerlane.admission.PlaceFinder
import tanagerlane.admission.WaitingRequests
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestClass
import tanagerlane.places.DirectTarget
import tanagerlane.places.LoadBalancer
import tanagerlane.places.Placement
import tanagerlane.places.PlacementRequest
import tanagerlane.serving.NextStep
import kotlin.time.Instant

/**
 * Gives places at targets to callers' requests, at once or after a wait.
 *
 * @param waiting queue of requests that find no place, or null if they are refused at once
 * @param reports tell the other processes how many requests this one has at each target
 */
internal class OnlinePlaces(
    private val loadBalancer: LoadBalancer,
    private val rules: TargetRules,
    waiting: WaitingRequests?,
    private val reports: PlaceReports,
    scope: CoroutineScope,
    metrics: DirectMetrics,
    private val now: () -> Instant,
) {
    private val placeQueue = waiting?.let { PlaceQueue(PlaceFinder(loadBalancer), rules, it, scope, metrics, now) }

    /**
     * Calls a target for [request] while it has a place there.
     *
     * @return what [call] returns, or why there is no place
     */
    suspend fun use(
        request: OnlineRequest,
        call: suspend (DirectTarget) -> NextStep?,
    ): Result<NextStep?, RefusalReason> {
        val place = request.heldPlace ?: find(request).getOrElse { return Err(it) }
        request.heldPlace = null
        val rejections = request.notRunAttempts
        var hasEnded = false
        request.triedTargets += place.target.name
        reports.requestReport()
        try {
            val next = call(place.target)
            hasEnded = next == null
            return Ok(next)
        } finally {
            giveBack(place, request.notRunAttempts > rejections, hasEnded)
        }
    }

    /**
     * Takes a place for the next attempt of [request] at a target other than [current], where one is free now.
     *
     * @return the place, which the next call of [use] uses; null if there is none
     */
    fun hold(
        request: OnlineRequest,
        current: DirectTarget,
    ): HeldPlace? {
        val placement = request.placement(rules)
        val elsewhere =
            placement.copy(mayUse = { it.name != current.name && placement.mayUse(it) }, avoidsHeld = true)
        val held = if (placeQueue != null) placeQueue.take(request, elsewhere) else take(elsewhere)
        request.heldPlace = held
        return held
    }

    /** Gives back the place that [request] holds for an attempt that is not made. */
    fun release(request: OnlineRequest) {
        request.heldPlace?.let { giveBack(it, isRejected = false, hasAnswered = false) }
        request.heldPlace = null
    }

    private fun take(placement: PlacementRequest): HeldPlace? {
        val target = (loadBalancer.place(placement, now()) as? Placement.At)?.target ?: return null
        if (loadBalancer.load(target.name, now()).online >= target.places) return null
        loadBalancer.started(target.name, RequestClass.ONLINE)
        return HeldPlace(target)
    }

    private fun giveBack(
        place: HeldPlace,
        isRejected: Boolean,
        hasAnswered: Boolean,
    ) {
        if (place.admitted == null) {
            loadBalancer.ended(place.target.name, RequestClass.ONLINE)
        } else {
            placeQueue?.leave(place.target, place.admitted, isRejected, hasAnswered)
        }
        reports.requestReport()
    }

    private suspend fun find(request: OnlineRequest): Result<HeldPlace, RefusalReason> {
        if (placeQueue != null) {
            return placeQueue.find(request)
        }
        return when (val placement = loadBalancer.place(request.placement(rules), now())) {
            is Placement.At -> {
                loadBalancer.started(placement.target.name, RequestClass.ONLINE)
                Ok(HeldPlace(placement.target))
            }

            Placement.Full -> {
                Err(RefusalReason.OVERLOADED)
            }

            Placement.NoTarget -> {
                Err(RefusalReason.NO_TARGET)
            }
        }
    }
}
