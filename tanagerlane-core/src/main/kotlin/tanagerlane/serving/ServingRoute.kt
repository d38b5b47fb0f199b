package tanagerlane.serving

import tanagerlane.model.RegionName
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import tanagerlane.routing.RendezvousHash
import kotlin.time.Duration

/**
 * A route: how requests for one host name and path prefix are served.
 *
 * @property timeout maximum time for which a caller waits for its answer
 * @property objective time within which an answer should begin
 * @property longestPause longest acceptable pause between two events of a stream, or null if none is configured
 * @property priority priority of the requests; 0 is the highest
 * @property attempts maximum number of targets to which one request may be sent
 * @property open whether requests are served without an API key
 * @property resumable whether an interrupted stream may be resumed at another target
 * @property homeRegions regions in which its requests may run; empty for all
 * @property job terms of the jobs of a batch route, or null for other routes
 */
public data class ServingRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val services: List<WeightedService>,
    val timeout: Duration,
    val objective: Duration,
    val longestPause: Duration? = null,
    val priority: Int = 0,
    val attempts: Int = 1,
    val open: Boolean = false,
    val resumable: Boolean = false,
    val job: JobTerms? = null,
    val homeRegions: Set<RegionName> = emptySet(),
) {
    /** Whether a request that may already have run may be sent again. */
    public val isRepeatable: Boolean
        get() = kind == RouteKind.SAFE || (kind == RouteKind.STREAM && resumable)

    /** Returns the service for [request]; every host selects the same one. Null if the route has no service. */
    public fun serviceFor(request: RequestId): ServiceName? {
        if (services.size <= 1) {
            return services.firstOrNull()?.service
        }
        val shares = services.flatMap { weighted -> List(weighted.weight) { number -> weighted.service to number } }
        return RendezvousHash.best(request.text, shares) { "${it.first}/${it.second}" }?.first
    }
}
