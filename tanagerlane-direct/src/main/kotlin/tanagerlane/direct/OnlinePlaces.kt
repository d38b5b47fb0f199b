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
        val place = find(request).getOrElse { return Err(it) }
        val rejections = request.notRunAttempts
        var hasEnded = false
        request.triedTargets += place.target.name
        reports.requestReport()
        try {
            val next = call(place.target)
            hasEnded = next == null
            return Ok(next)
        } finally {
            if (place.admitted == null) {
                loadBalancer.ended(place.target.name, RequestClass.ONLINE)
            } else {
                placeQueue?.leave(place.target, place.admitted, request.notRunAttempts > rejections, hasEnded)
            }
            reports.requestReport()
        }
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
