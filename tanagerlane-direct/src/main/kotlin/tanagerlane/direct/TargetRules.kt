package tanagerlane.direct

import tanagerlane.evacuation.HomeRegions
import tanagerlane.places.DirectTarget
import tanagerlane.places.PlacementRequest
import tanagerlane.serving.ServingRoute
import tanagerlane.serving.ServingWorkspace

/**
 * Rules on which targets a request may be sent to.
 *
 * @param evacuations evacuations of failure domains, or null if there are none in this deployment
 * @property mayContinue whether a stream of which the caller has a part may go on at a target
 * @property isBound whether a request may be sent to some of the software versions in service only
 */
internal class TargetRules(
    private val homeRegions: HomeRegions,
    private val evacuations: EvacuationDirectory?,
    val mayContinue: (OnlineRequest, DirectTarget) -> Boolean = { _, _ -> true },
    val isBound: (OnlineRequest) -> Boolean = { false },
) {
    /** Whether it is known which targets may be sent requests. */
    val areKnown: Boolean get() = evacuations?.maySend ?: true

    /** Returns whether a request of [route] and [workspace] may be sent to a target now. */
    fun targetsFor(
        route: ServingRoute,
        workspace: ServingWorkspace?,
    ): (DirectTarget) -> Boolean = if (areKnown) homeRegions.targetsFor(route, workspace) else NO_TARGET

    private companion object {
        val NO_TARGET: (DirectTarget) -> Boolean = { false }
    }
}
