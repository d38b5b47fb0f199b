package tanagerlane.direct

import tanagerlane.model.RegionName
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
    private val isContinuable = HashMap<Place, Boolean>()

    /**
     * Returns a target for the item of [progress], of [route] and [workspace], or null if none has a place for it.
     *
     * While targets that can continue the text are only full, the item waits for them, even if it is late: a run from
     * the beginning takes longer than the rest of the text.
     */
    fun targetFor(
        progress: ItemProgress,
        route: ServingRoute,
        workspace: ServingWorkspace?,
        isPressing: Boolean,
        now: Instant,
    ): DirectTarget? {
        val service = route.serviceFor(progress.item.id) ?: return null
        val keepFree = if (isPressing) 0 else headroom
        val mayUse = rules.targetsFor(route, workspace)
        val anyVersion = Place(service, route.homeRegions, workspace?.homeRegions.orEmpty(), keepFree)
        val place = progress.continuationRule?.let { continuable(anyVersion.copy(rule = it), mayUse) } ?: anyVersion
        if (place in full) {
            return null
        }
        return loadBalancer.placeBatch(service, now, { mayUse(it) && place.permits(it) }, keepFree)
            ?: null.also { full += place }
    }

    /** Returns [place], or null if there is no target that can continue the text. */
    private fun continuable(
        place: Place,
        mayUse: (DirectTarget) -> Boolean,
    ): Place? {
        val isContinuable =
            isContinuable.getOrPut(place) {
                loadBalancer.hasTarget(place.service) { mayUse(it) && place.permits(it) }
            }
        return place.takeIf { isContinuable }
    }

    /** Whether a target other than [current] has a place at [now] at which the item of [progress] can go on. */
    fun hasPlaceElsewhere(
        progress: ItemProgress,
        route: ServingRoute,
        workspace: ServingWorkspace?,
        current: DirectTarget,
        now: Instant,
    ): Boolean {
        val service = route.serviceFor(progress.item.id) ?: return false
        val isPermitted = rules.targetsFor(route, workspace)
        val rule = progress.continuationRule
        val mayUse = { it: DirectTarget -> it.name != current.name && isPermitted(it) && rule?.permits(it) != false }
        return loadBalancer.placeBatch(service, now, mayUse, headroom) != null
    }

    /** A service within the home regions of a route and a workspace, and the places that stay free. */
    private data class Place(
        val service: ServiceName,
        val routeHomes: Set<RegionName>,
        val workspaceHomes: Set<RegionName>,
        val keepFree: Int,
        val rule: ContinuationRule? = null,
    ) {
        fun permits(target: DirectTarget): Boolean = rule?.permits(target) ?: true
    }
}
