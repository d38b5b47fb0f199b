package tanagerlane.admission

import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Requests that wait for a place at a target of one service.
 *
 * Those that are late already follow all others, since a place that they take makes later ones late. Not thread-safe.
 *
 * @param waitingElsewhere returns how many requests wait in other processes
 */
internal class ServiceQueue(
    private val settings: WaitingSettings,
    random: Random,
    private val waitingElsewhere: (Instant) -> Int,
) {
    private val inTime = FairOrder()
    private val late = FairOrder()
    private val checks = PriorityQueue(compareBy<Check>({ it.at }, { it.request.number }))
    private val releases = ReleaseForecast(settings.initialDuration)
    private val arrivals = ArrivalForecast()
    private val retries = RetryCalendar(random::nextDouble)
    private val share = PlaceShare(settings.reportAge, random::nextDouble)
    private val served = ServedShares(settings.floorShare)
    private var forgottenAt: Instant? = null

    val size: Int get() = inTime.size + late.size

    /** Whether nothing waits or runs. */
    val isIdle: Boolean get() = size == 0 && releases.runningCount == 0

    fun arrived(
        request: WaitingRequest,
        now: Instant,
    ) {
        arrivals.arrived(now)
        served.cameToAny(now)
        served.came(request.workspace, now)
        served.came(request.priority, now)
    }

    fun add(
        request: WaitingRequest,
        now: Instant,
    ) {
        if (now < latestStart(request) || !request.mayRefuse) inTime.add(request) else late.add(request)
        checks += Check(request, firstCheckAt(request), CheckKind.PROMPT)
        checks += Check(request, latestStart(request), CheckKind.DUE)
        checks += Check(request, holdEnd(request), CheckKind.HOLD)
    }

    /** Returns why [request], which waits, is refused now, or null if it waits on. */
    fun reasonToRefuse(
        request: WaitingRequest,
        now: Instant,
    ): WaitingRefusal? =
        when {
            !request.mayRefuse || isExpectedInTime(request, now) -> null
            request.mayBeRetry -> null.also { makeLate(request) }
            else -> WaitingRefusal.NOT_IN_TIME
        }

    /** Whether [request], which has just come, has so many others before it that it need not wait at all. */
    fun isHopeless(
        request: WaitingRequest,
        now: Instant,
    ): Boolean =
        request.mayRefuse && request in inTime &&
            expectedWait(request, now) > request.objective * settings.hopelessObjectives

    fun remove(request: WaitingRequest): Boolean {
        val isRemoved = inTime.remove(request) || late.remove(request)
        if (size == 0) checks.clear()
        return isRemoved
    }

    fun isLate(request: WaitingRequest): Boolean = inTime.size == 0 && size > 0 && request.mayRefuse

    /** Returns the request to be sent next, or null if none may be sent of the [free] places that are seen. */
    fun next(
        free: () -> Int,
        now: Instant,
    ): WaitingRequest? {
        if (size == 0 || !mayTake(free, size, now)) {
            return null
        }
        val next = inTime.peek { served.isBelowFloor(it, now) }
        return if (next != null || isOverloaded(now)) next else late.peek { false }
    }

    /** Whether so many requests come that a place given to a late one would make another one late. */
    private fun isOverloaded(now: Instant): Boolean =
        arrivals.perSecond(Duration.ZERO, now) > releases.perSecond * OVERLOAD_FACTOR

    /** Whether this process may take one more place when it has [waiting] requests to send. */
    fun mayTake(
        free: () -> Int,
        waiting: Int,
        now: Instant,
    ): Boolean = share.mayTake(free, waiting, waitingElsewhere(now), now)

    fun sent(
        request: WaitingRequest,
        now: Instant,
    ) {
        share.taken(now)
        inTime.take(request)
        late.remove(request)
        if (size == 0) checks.clear()
        releases.started(request.number, request.route, now)
        if (now <= latestStart(request)) {
            served.servedToAny(now)
            served.served(request.workspace, now)
            served.served(request.priority, now)
        }
    }

    fun ended(
        number: Long,
        isTypical: Boolean,
        now: Instant,
    ) {
        share.freed(now)
        releases.ended(number, isTypical, now)
        if (forgottenAt.let { it == null || now - it > settings.reportLifetime }) {
            served.forgetIdle(now)
            forgottenAt = now
        }
    }

    /** Removes and returns the requests that are to be refused at [now]. */
    fun expired(now: Instant): List<WaitingDecision.Refused> {
        val refused = ArrayList<WaitingDecision.Refused>()
        while (true) {
            val check = checks.peek()?.takeIf { it.at <= now } ?: return refused
            checks.remove()
            val reason = reasonAt(check, now)
            if (reason != null && remove(check.request)) {
                refused += WaitingDecision.Refused(check.request, reason, retryAfter(check.request, now))
            }
        }
    }

    /** Returns the time after which a caller should retry [request], if it is refused now. */
    fun retryAfter(
        request: WaitingRequest,
        now: Instant,
    ): Duration {
        val capacity = releases.perSecond
        return retries.choose(
            (request.deadline - now).coerceAtLeast(Duration.ZERO) * settings.retryShare,
            capacity,
            { capacity - arrivals.perSecond(it, now) },
            now,
        )
    }

    private fun reasonAt(
        check: Check,
        now: Instant,
    ): WaitingRefusal? =
        when (check.kind) {
            CheckKind.PROMPT -> if (check.request in inTime) reasonToRefuse(check.request, now) else null
            CheckKind.DUE -> null.also { if (check.request.mayRefuse) makeLate(check.request) }
            CheckKind.HOLD -> WaitingRefusal.HELD_TOO_LONG
        }

    private fun makeLate(request: WaitingRequest) {
        if (inTime.remove(request)) late.add(request)
    }

    private fun isExpectedInTime(
        request: WaitingRequest,
        now: Instant,
    ): Boolean {
        val start = settings.startTime + releases.meanDuration * settings.targetQueueShare
        return now + expectedWait(request, now) + start <= request.dueAt
    }

    private fun expectedWait(
        request: WaitingRequest,
        now: Instant,
    ): Duration {
        val isPreferred = served.isBelowFloor(request.workspace, now) || served.isBelowFloor(request.priority, now)
        val ahead = if (isPreferred) 0 else inTime.countAhead(request)
        return releases.timeUntil(ahead + 1, now)
    }

    /** Time after which a request that is sent is answered too late for its objective. */
    private fun latestStart(request: WaitingRequest): Instant = request.dueAt - settings.startTime

    private fun firstCheckAt(request: WaitingRequest): Instant =
        request.arrivedAt + request.objective * settings.promptShare

    /** End of the wait of a request that is late; one that can't be refused as "not run" waits until its deadline. */
    private fun holdEnd(request: WaitingRequest): Instant {
        val whole = request.deadline - request.arrivedAt
        return if (request.mayRefuse) request.arrivedAt + whole * settings.holdShare else request.deadline
    }

    private enum class CheckKind { PROMPT, DUE, HOLD }

    private class Check(
        val request: WaitingRequest,
        val at: Instant,
        val kind: CheckKind,
    )

    private companion object {
        /** Arrivals in relation to ends from which there is an overload; both rates vary by chance. */
        const val OVERLOAD_FACTOR = 1.15
    }
}
