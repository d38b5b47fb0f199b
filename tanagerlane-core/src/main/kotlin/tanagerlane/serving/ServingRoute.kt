package tanagerlane.serving

import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import tanagerlane.routing.RendezvousHash
import kotlin.time.Duration

/**
 * Requests for one host name and path prefix, and how they are served.
 *
 * @property timeout longest time for which a caller is kept waiting
 * @property objective time within which an answer should begin
 * @property longestPause longest pause between two events of a stream that is still good, or null where none is given
 * @property priority rank, 0 being the most urgent
 * @property attempts most targets that one request may be handed to
 * @property open whether requests need no key
 * @property resumable whether a stream may go on at another target
 * @property job terms of a batch route, or null for others
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
) {
    /** Whether a request that may have run may be sent again. */
    public val isRepeatable: Boolean
        get() = kind == RouteKind.SAFE || (kind == RouteKind.STREAM && resumable)

    /** Returns the service for [request], the same on every host. */
    public fun serviceFor(request: RequestId): ServiceName? {
        if (services.size <= 1) {
            return services.firstOrNull()?.service
        }
        val shares = services.flatMap { weighted -> List(weighted.weight) { number -> weighted.service to number } }
        return RendezvousHash.best(request.text, shares) { "${it.first}/${it.second}" }?.first
    }
}
