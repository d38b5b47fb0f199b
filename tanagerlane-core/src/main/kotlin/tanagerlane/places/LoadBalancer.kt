package tanagerlane.places

import tanagerlane.message.PlaceReport
import tanagerlane.message.TargetPlaces
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.RequestClass
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.routing.RendezvousHash
import kotlin.math.ceil
import kotlin.time.Instant

/**
 * Tracks the requests in flight from all processes to each target and selects targets for new requests.
 *
 * A target has a fixed number of places, each of which runs one request at a time. Every process reports its own
 * counts to all others on each change, so together they behave like one shared queue, delayed by the delivery time of a
 * report. Online requests have precedence: runners stop batch items to free places for them; see [itemsToPreempt].
 * Thread-safe.
 */
public class LoadBalancer(
    private val own: HostName,
    private val domain: FailureDomain,
    private val settings: LoadBalancerSettings = LoadBalancerSettings(),
    private val pacing: TargetPacing = FailureBackoff(settings.initialBackoff, settings.maximumBackoff),
) {
    private val lock = Any()
    private var targets: Map<TargetName, DirectTarget> = emptyMap()
    private var selectable: Map<ServiceName, List<DirectTarget>> = emptyMap()
    private val ownLoads = HashMap<TargetName, TargetLoad>()
    private val others = ReportedLoads(settings.reportLifetime)
    private val waiting = ReportedWaiting(settings.reportLifetime)
    private var selections = 0
    private var selectedAt = Instant.DISTANT_PAST
    private val loads =
        object : TargetLoads {
            override fun ofAll(
                target: TargetName,
                now: Instant,
            ) = loadOf(target, now)

            override fun own(target: TargetName) = ownLoads[target]?.total ?: 0
        }

    /** Replaces the set of targets that may be selected from [now] on. */
    public fun configure(
        usable: Collection<DirectTarget>,
        now: Instant = selectedAt,
    ) {
        synchronized(lock) {
            targets = usable.associateBy { it.name }
            selectable = targets.values.filterNot { it.leaving }.groupBy { it.service }
            pacing.configure(targets.values, now)
        }
    }

    /** Replaces the last report of [host] with [report], received at [now]. */
    public fun received(
        host: HostName,
        report: PlaceReport,
        now: Instant,
    ) {
        val places = report.places.associate { it.target to TargetLoad(it.online, it.batch) }
        synchronized(lock) {
            others.replace(host, places, now)
            pacing.received(report, now)
            waiting.replace(host, report.waiting, now)
        }
    }

    /** Discards the last report of [host], which has terminated. */
    public fun forget(host: HostName) {
        synchronized(lock) {
            others.remove(host)
            pacing.forget(host)
            waiting.remove(host)
        }
    }

    /** Records that this process has sent a request to [target] at [now], by default when a target was last selected. */
    public fun started(
        target: TargetName,
        requestClass: RequestClass,
        now: Instant = selectedAt,
    ) {
        synchronized(lock) {
            count(target, requestClass, 1)
            pacing.sent(target, now)
        }
    }

    /** Records that a request of this process to [target] has ended. */
    public fun ended(
        target: TargetName,
        requestClass: RequestClass,
    ): Unit = synchronized(lock) { count(target, requestClass, -1) }

    /** Applies [record] to what is known of the pace that targets bear. */
    public fun <T> pace(record: TargetPacing.() -> T): T = synchronized(lock) { pacing.record() }

    /** Records a successful answer of [target], which ends its backoff. */
    public fun succeeded(target: TargetName): Unit = pace { succeeded(target) }

    /** Records a failure of [target], which is held back afterwards; see [TargetPacing]. */
    public fun failed(
        target: TargetName,
        now: Instant,
    ): Unit = pace { failed(target, now) }

    /** Returns the requests that this process has in flight, by target. */
    public fun report(): List<TargetPlaces> =
        synchronized(lock) { ownLoads.map { (target, load) -> TargetPlaces(target, load.online, load.batch) } }

    /** Returns the requests that all processes have in flight to [target]. */
    public fun load(
        target: TargetName,
        now: Instant,
    ): TargetLoad = synchronized(lock) { loadOf(target, now) }

    /** Selects a target of [service] for an online request, other than those in [tried] where possible. */
    public fun place(
        service: ServiceName,
        tried: Set<TargetName>,
        now: Instant,
    ): Placement = place(PlacementRequest(service, tried), now)

    /** Selects a target for the online request [request]. */
    public fun place(
        request: PlacementRequest,
        now: Instant,
    ): Placement =
        synchronized(lock) {
            val candidates =
                selectable[request.service].orEmpty().filter(request.mayUse).ifEmpty { return Placement.NoTarget }
            val paced = withPace(candidates, now).filter { !request.avoidsHeld || it.decision < PaceDecision.HELD }
            val untried = paced.filter { it.target.name !in request.tried }.ifEmpty { paced }
            val mostPreferred = preferred(untried).ifEmpty { return Placement.Full }
            selections++
            val best = mostPreferred.map { ranked(it, now) }.minWith(RankedTarget.BEST_FIRST)
            if (best.online >= capacity(best.target)) Placement.Full else Placement.At(best.target)
        }

    /** Returns the places for online requests at the targets of [service], as far as this process sees. */
    public fun placesOf(
        service: ServiceName,
        now: Instant,
    ): ServicePlaces =
        synchronized(lock) {
            val usable = open(withPace(selectable[service].orEmpty(), now))
            val free = usable.sumOf { (capacity(it) - loadOf(it.name, now).online).coerceAtLeast(0) }
            val total = usable.sumOf { capacity(it) }
            ServicePlaces(
                free = free.coerceAtMost(Int.MAX_VALUE.toLong()).toInt(),
                total = total.coerceAtMost(Int.MAX_VALUE.toLong()).toInt(),
            )
        }

    /** Returns whether a target of [service] that is not leaving satisfies [mayUse], with or without a free place. */
    public fun hasTarget(
        service: ServiceName,
        mayUse: (DirectTarget) -> Boolean,
    ): Boolean = synchronized(lock) { selectable[service].orEmpty().any(mayUse) }

    /**
     * Selects a target of [service] with a free place for a batch item, or returns null if there is none.
     *
     * If all targets are held back after failures, the fault may be in this process, so any of them may be selected.
     * Places that online requests wait for are left to them.
     *
     * @param mayUse whether the item may be sent to a target at all
     * @param keepFree places that stay free at the target for online requests
     */
    public fun placeBatch(
        service: ServiceName,
        now: Instant,
        mayUse: (DirectTarget) -> Boolean = PlacementRequest.ANY_TARGET,
        keepFree: Int = 0,
    ): DirectTarget? =
        synchronized(lock) {
            val free =
                preferred(withPace(selectable[service].orEmpty().filter(mayUse), now))
                    .map { FreePlaces(it, it.places - loadOf(it.name, now).total) }
                    .filter { it.free > keepFree.coerceAtMost(it.target.places - 1) }
            if (free.sumOf { it.free.toLong() } <= waiting.of(service, now)) {
                return null
            }
            val bestFirst = compareByDescending<FreePlaces> { it.free }.thenBy { it.target.failureDomain != domain }
            free.minWithOrNull(bestFirst)?.target
        }

    /**
     * Returns how many batch items this process must stop at each target to free places for online requests.
     *
     * All runners see the same counts and preempt in the same order, so together they stop no more items than needed.
     */
    public fun itemsToPreempt(now: Instant): Map<TargetName, Int> =
        synchronized(lock) {
            ownLoads
                .filter { it.value.batch > 0 }
                .mapValues { (name, load) -> itemsToPreemptAt(name, load, now) }
                .filterValues { it > 0 }
        }

    private fun itemsToPreemptAt(
        name: TargetName,
        ownLoad: TargetLoad,
        now: Instant,
    ): Int {
        val target = targets[name] ?: return 0
        var toPreempt = loadOf(name, now).total - target.places
        if (toPreempt <= 0) {
            return 0
        }
        val batchOfOthers = others.batchOf(name, now)
        for (runner in RendezvousHash.ranked(name.text, batchOfOthers.keys + own) { it.text }) {
            if (runner == own) {
                return toPreempt.coerceIn(0, ownLoad.batch)
            }
            toPreempt -= batchOfOthers.getValue(runner)
        }
        return 0
    }

    /**
     * Ranks [target] for an online request.
     *
     * Targets with enough free places rank equal, and the tie is broken pseudo-randomly: the reports of other processes
     * are out of date by their delivery time, and all entries would otherwise send to the target that was least loaded
     * in the last reports. If all targets are full, the one with the fewest online requests ranks first, since batch
     * items are stopped to free their places.
     */
    private fun ranked(
        target: DirectTarget,
        now: Instant,
    ): RankedTarget {
        val load = loadOf(target.name, now)
        return RankedTarget(
            target = target,
            online = load.online,
            queueLengthWithNext = (load.online + 1 - target.places).coerceAtLeast(0),
            freePlaces = (target.places - load.total).coerceIn(0, settings.ampleFreePlaces),
            onlineIfFull = if (load.total < target.places) 0 else load.online,
            isRemote = target.failureDomain != domain,
            tieBreaker = (target.name.text.hashCode() + selections * TIE_BREAK_MULTIPLIER) and TIE_BREAK_MASK,
        )
    }

    /** Online requests that [target] runs and queues; with the largest number of places, more than an [Int] holds. */
    private fun capacity(target: DirectTarget): Long =
        target.places + ceil(target.places * settings.queueShare).toLong()

    private fun loadOf(
        target: TargetName,
        now: Instant,
    ): TargetLoad {
        val reported = others.loadOf(target, now)
        return ownLoads[target]?.let { TargetLoad(reported.online + it.online, reported.batch + it.batch) } ?: reported
    }

    /** Returns those of [candidates] that may be sent a request now, with what [pacing] decides about them. */
    private fun withPace(
        candidates: List<DirectTarget>,
        now: Instant,
    ): List<PacedTarget> {
        selectedAt = now
        return candidates
            .map { PacedTarget(it, pacing.admission(it, loads, now)) }
            .filter { it.decision != PaceDecision.FORBIDDEN }
    }

    /** Returns the targets that are not limited, or all if there are none. */
    private fun open(candidates: List<PacedTarget>): List<DirectTarget> =
        candidates.filter { it.decision <= PaceDecision.ADMITTED }.ifEmpty { candidates }.map { it.target }

    private fun preferred(candidates: List<PacedTarget>): List<DirectTarget> {
        val best = candidates.minOfOrNull { it.decision }
        return candidates.filter { it.decision == best }.map { it.target }
    }

    private fun count(
        target: TargetName,
        requestClass: RequestClass,
        change: Int,
    ) {
        val load = ownLoads[target] ?: TargetLoad(0, 0)
        val changed =
            when (requestClass) {
                RequestClass.ONLINE -> load.copy(online = load.online + change)
                RequestClass.BATCH -> load.copy(batch = load.batch + change)
            }
        if (changed.total == 0) ownLoads.remove(target) else ownLoads[target] = changed
    }

    private companion object {
        /** Odd multiplier, so that successive selections spread ties over all targets. */
        const val TIE_BREAK_MULTIPLIER = 0x9E3779B1.toInt()
        const val TIE_BREAK_MASK = 0xFFFF
    }
}
