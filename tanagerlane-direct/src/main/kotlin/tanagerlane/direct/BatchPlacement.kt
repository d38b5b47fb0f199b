package tanagerlane.direct

import tanagerlane.model.RegionName
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import tanagerlane.places.DirectTarget
import tanagerlane.places.LoadBalancer
import tanagerlane.serving.ServingRoute
import tanagerlane.serving.ServingWorkspace
import kotlin.time.Instant

/**
 * Selects targets for batch items in one scheduling pass; a service that is full is not searched again.
 *
 * @param headroom places at each target that items which are not pressing leave free for online requests
 */
internal class BatchPlacement(
    private val loadBalancer: LoadBalancer,
    private val rules: TargetRules,
    private val headroom: Int,
) {
    private val full = HashSet<Place>()

    /** Returns a target for the item [id] of [route] and [workspace], or null if none has a place for it. */
    fun targetFor(
        id: RequestId,
        route: ServingRoute,
        workspace: ServingWorkspace?,
        isPressing: Boolean,
        now: Instant,
    ): DirectTarget? {
        val service = route.serviceFor(id) ?: return null
        val keepFree = if (isPressing) 0 else headroom
        val place = Place(service, route.homeRegions, workspace?.homeRegions.orEmpty(), keepFree)
        if (place in full) {
            return null
        }
        return loadBalancer.placeBatch(service, now, rules.targetsFor(route, workspace), keepFree)
            ?: null.also { full += place }
    }

    /** Whether a target other than [current] has a place for the item [id] of [route] and [workspace] at [now]. */
    fun hasPlaceElsewhere(
        id: RequestId,
        route: ServingRoute,
        workspace: ServingWorkspace?,
        current: DirectTarget,
        now: Instant,
    ): Boolean {
        val service = route.serviceFor(id) ?: return false
        val mayUse = rules.targetsFor(route, workspace)
        return loadBalancer.placeBatch(service, now, { it.name != current.name && mayUse(it) }, headroom) != null
    }

    /** A service within the home regions of a route and a workspace, and the places that stay free. */
    private data class Place(
        val service: ServiceName,
        val routeHomes: Set<RegionName>,
        val workspaceHomes: Set<RegionName>,
        val keepFree: Int,
    )
}
