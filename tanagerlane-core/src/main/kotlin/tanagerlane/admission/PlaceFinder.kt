package tanagerlane.admission

import tanagerlane.model.RequestClass
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.LoadBalancer
import tanagerlane.places.Placement
import tanagerlane.places.PlacementRequest
import kotlin.time.Instant

/**
 * Finds places for requests that may wait, by the reports of other processes and by what this process has seen since.
 *
 * When places are short, it prefers places that requests of this process have just freed: the other processes do not
 * know of them yet, while all of them see the places that the reports show. Not thread-safe.
 */
public class PlaceFinder(
    private val loadBalancer: LoadBalancer,
    settings: WaitingSettings = WaitingSettings(),
) {
    private val observed = ObservedTargets(settings.reportAge)

    /** Returns the free places of [service], as far as this process sees. */
    public fun free(
        service: ServiceName,
        now: Instant,
    ): Int = loadBalancer.placesOf(service, now).free

    /** Selects a target for [request]. */
    public fun find(
        request: PlacementRequest,
        now: Instant,
    ): Placement {
        observed.expire(now)
        val places = loadBalancer.placesOf(request.service, now)
        if (places.free < places.total * SHORT_SHARE) {
            val freed = request.copy(mayUse = { observed.hasFreedPlace(it.name, now) && request.mayUse(it) })
            val placement = loadBalancer.place(freed, now)
            if (placement is Placement.At || request.tried.size >= MAXIMUM_UNSURE) {
                return if (placement is Placement.NoTarget) withoutTarget(request, now) else placement
            }
        }
        val placement =
            loadBalancer.place(request.copy(mayUse = { !observed.isFull(it.name, now) && request.mayUse(it) }), now)
        // All targets may have rejected requests; whether there is any is found without regard to that.
        return if (placement == Placement.NoTarget) withoutTarget(request, now) else placement
    }

    /** Whether all places of [target] are taken, so that a request would queue there. */
    public fun isBusy(
        target: TargetName,
        places: Int,
        now: Instant,
    ): Boolean = loadBalancer.load(target, now).online >= places

    /** Records that this process has sent a request to [target]. */
    public fun sent(target: TargetName) {
        observed.sent(target)
        loadBalancer.started(target, RequestClass.ONLINE)
    }

    /** Records that [target] has rejected a request, which has not run. */
    public fun rejected(
        target: TargetName,
        now: Instant,
    ) {
        observed.rejected(target, now)
        loadBalancer.ended(target, RequestClass.ONLINE)
    }

    /**
     * Records that a request has ended at [target].
     *
     * @param isTypical whether it ran to its end, so that its place is free
     */
    public fun ended(
        target: TargetName,
        isTypical: Boolean,
        now: Instant,
    ) {
        if (isTypical) observed.freed(target, now)
        loadBalancer.ended(target, RequestClass.ONLINE)
    }

    private fun withoutTarget(
        request: PlacementRequest,
        now: Instant,
    ): Placement = if (loadBalancer.place(request, now) == Placement.NoTarget) Placement.NoTarget else Placement.Full

    private companion object {
        /** Targets that are tried by reports alone; after that a request waits for a place that is free for certain. */
        const val MAXIMUM_UNSURE = 2

        /** Part of all places below which free ones are short; in replays a third gave more value than a tenth. */
        const val SHORT_SHARE = 0.33
    }
}
