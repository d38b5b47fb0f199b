package tanagerlane.evacuation

import tanagerlane.model.FailureDomain
import tanagerlane.model.RegionName
import tanagerlane.places.DirectTarget
import tanagerlane.places.PlacementRequest
import tanagerlane.serving.ServingRoute
import tanagerlane.serving.ServingWorkspace

/**
 * Rules on which targets requests may use whose route or workspace has home regions.
 *
 * @property regions regions of the failure domains; one that is missing belongs to no region and is nobody's home
 */
public data class HomeRegions(
    val regions: Map<FailureDomain, RegionName> = emptyMap(),
) {
    /** Whether a request of [route] and [workspace] may be sent to targets in [domain]. */
    public fun permits(
        route: ServingRoute,
        workspace: ServingWorkspace?,
        domain: FailureDomain,
    ): Boolean = contain(route.homeRegions, domain) && contain(workspace?.homeRegions.orEmpty(), domain)

    /** Returns whether a request of [route] and [workspace] may be sent to a target. */
    public fun targetsFor(
        route: ServingRoute,
        workspace: ServingWorkspace?,
    ): (DirectTarget) -> Boolean =
        if (route.homeRegions.isEmpty() && workspace?.homeRegions.isNullOrEmpty()) {
            PlacementRequest.ANY_TARGET
        } else {
            { permits(route, workspace, it.failureDomain) }
        }

    private fun contain(
        homes: Set<RegionName>,
        domain: FailureDomain,
    ): Boolean = homes.isEmpty() || regions[domain]?.let { it in homes } ?: false
}
