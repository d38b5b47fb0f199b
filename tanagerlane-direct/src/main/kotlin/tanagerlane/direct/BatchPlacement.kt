package tanagerlane.direct

import tanagerlane.model.RegionName
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import tanagerlane.places.DirectTarget
import tanagerlane.places.LoadBalancer
import tanagerlane.serving.ServingRoute
import tanagerlane.serving.ServingWorkspace
import kotlin.time.Instant

/** Selects targets for batch items in one scheduling pass; a service that is full is not searched again. */
internal class BatchPlacement(
    private val loadBalancer: LoadBalancer,
    private val rules: TargetRules,
) {
    private val full = HashSet<Place>()

    /** Returns a target for the item [id] of [route] and [workspace], or null if none has a free place. */
    fun targetFor(
        id: RequestId,
        route: ServingRoute,
        workspace: ServingWorkspace?,
        now: Instant,
    ): DirectTarget? {
        val service = route.serviceFor(id) ?: return null
        val place = Place(service, route.homeRegions, workspace?.homeRegions.orEmpty())
        if (place in full) {
            return null
        }
        return loadBalancer.placeBatch(service, now, rules.targetsFor(route, workspace))
            ?: null.also { full += place }
    }

    /** A service within the home regions of a route and a workspace. */
    private data class Place(
        val service: ServiceName,
        val routeHomes: Set<RegionName>,
        val workspaceHomes: Set<RegionName>,
    )
}
