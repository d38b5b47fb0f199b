package tanagerlane.admission

import tanagerlane.message.WaitingCount
import tanagerlane.model.HostName
import tanagerlane.model.ServiceName
import tanagerlane.places.ReportedWaiting
import kotlin.random.Random
import kotlin.time.Instant

/**
 * Requests of one process that wait for a place at a target, and the decision which of them is sent next or refused.
 *
 * A request waits as long as it can be expected to be answered within its objective. One that can't is refused while a
 * refusal is still prompt; after that it is sent late, once nothing else waits. The caller of this class selects the
 * target and tells what was sent and has ended. Nothing is done on a timer here; while requests wait, [expired] and
 * [next] have to be called every few milliseconds. Not thread-safe.
 *
 * @param random decides by lot who takes a place that several processes see
 */
public class WaitingRequests(
    private val settings: WaitingSettings = WaitingSettings(),
    private val random: Random = Random.Default,
) {
    private val queues = HashMap<ServiceName, ServiceQueue>()
    private val elsewhere = ReportedWaiting(settings.reportLifetime)
    private val waitingBytes = HashMap<Long, Int>()
    private var bytes = 0L

    /** Number of waiting requests. */
    public val size: Int get() = waitingBytes.size

    /** Services for which requests wait. */
    public val services: List<ServiceName> get() = queues.filterValues { it.size > 0 }.keys.toList()

    /** Records that [request] has come, whether it will wait or not. */
    public fun arrived(
        request: WaitingRequest,
        now: Instant,
    ): Unit = queueOf(request.service).arrived(request, now)

    /**
     * Whether [request] may be sent without waiting: nothing waits here, and of the [free] places that this process sees
     * it may take one although requests wait elsewhere.
     */
    public fun mayPass(
        request: WaitingRequest,
        free: () -> Int,
        now: Instant,
    ): Boolean {
        val queue = queueOf(request.service)
        return queue.size == 0 && queue.mayTake(free, 1, now)
    }

    /** Lets [request] wait, unless too much waits already. */
    public fun add(
        request: WaitingRequest,
        now: Instant,
    ): WaitingDecision {
        val queue = queueOf(request.service)
        if (size >= settings.maximumRequests || bytes + request.bytes > settings.maximumBytes) {
            return WaitingDecision.Refused(request, WaitingRefusal.QUEUE_FULL, queue.retryAfter(request, now))
        }
        queue.add(request, now)
        waitingBytes[request.number] = request.bytes
        bytes += request.bytes
        return WaitingDecision.Waits
    }

    /** Decides whether [request], which has just begun to wait, goes on; it is removed if it is refused. */
    public fun decide(
        request: WaitingRequest,
        now: Instant,
    ): WaitingDecision {
        val queue = queueOf(request.service)
        if (!queue.isHopeless(request, now)) return WaitingDecision.Waits
        remove(request)
        return WaitingDecision.Refused(request, WaitingRefusal.NOT_IN_TIME, queue.retryAfter(request, now))
    }

    /**
     * Returns the request that is to be sent next to a target of [service], or null.
     *
     * @param free returns the number of free places that this process sees
     */
    public fun next(
        service: ServiceName,
        free: () -> Int,
        now: Instant,
    ): WaitingRequest? = queues[service]?.next(free, now)

    /** Whether [request], as returned by [next], is late, so that it should not queue at a target. */
    public fun isLate(request: WaitingRequest): Boolean = queueOf(request.service).isLate(request)

    /** Records that [request] is sent to a target; it no longer waits. */
    public fun sent(
        request: WaitingRequest,
        now: Instant,
    ) {
        queueOf(request.service).sent(request, now)
        forget(request)
    }

    /**
     * Records that [request], which was sent, has ended at its target.
     *
     * @param isTypical whether it ran to its end, so that its duration tells something about others
     */
    public fun ended(
        request: WaitingRequest,
        isTypical: Boolean,
        now: Instant,
    ): Unit = queueOf(request.service).ended(request.number, isTypical, now)

    /** Removes [request], whose caller has left. */
    public fun remove(request: WaitingRequest) {
        queueOf(request.service).remove(request)
        forget(request)
    }

    /** Removes and returns the requests that are to be refused at [now]. */
    public fun expired(now: Instant): List<WaitingDecision.Refused> =
        queues.values.flatMap { it.expired(now) }.onEach { forget(it.request) }

    /** Returns the number of waiting requests for each service with any. */
    public fun report(): List<WaitingCount> =
        if (size == 0) {
            emptyList()
        } else {
            queues.filterValues { it.size > 0 }.map { (service, queue) -> WaitingCount(service, queue.size) }
        }

    /** Replaces the numbers of requests that wait in [host]. */
    public fun received(
        host: HostName,
        waiting: List<WaitingCount>,
        now: Instant,
    ) {
        elsewhere.replace(host, waiting, now)
    }

    private fun forget(request: WaitingRequest) {
        waitingBytes.remove(request.number)?.let { bytes -= it }
    }

    private fun queueOf(service: ServiceName): ServiceQueue =
        queues.getOrPut(service) {
            if (queues.size >= MAXIMUM_IDLE_SERVICES) queues.values.removeIf { it.isIdle }
            ServiceQueue(settings, random) { elsewhere.of(service, it) }
        }

    private companion object {
        /** Services beyond this number are forgotten when they are idle; their durations are learned anew. */
        const val MAXIMUM_IDLE_SERVICES = 64
    }
}
