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
 * Counts the requests that all processes have at each target and decides where further ones go.
 *
 * Each process reports its own counts to all others on every change, so that they act like one queue within the time
 * that a report takes. Requests of callers take places from batch items, whose runners give them up; see [itemsToPreempt].
 * Safe for use by several threads.
 */
public class LoadBalancer(
    private val own: HostName,
    private val domain: FailureDomain,
    private val settings: LoadBalancerSettings = LoadBalancerSettings(),
) {
    private val lock = Any()
    private var targets: Map<TargetName, DirectTarget> = emptyMap()
    private val ownLoads = HashMap<TargetName, TargetLoad>()
    private val reports = HashMap<HostName, ReceivedReport>()
    private val failures = HashMap<TargetName, FailureRun>()
    private var turn = 0

    /** Replaces the targets that may be used. */
    public fun configure(usable: Collection<DirectTarget>) {
        synchronized(lock) {
            targets = usable.associateBy { it.name }
            failures.keys.retainAll(targets.keys)
        }
    }

    /** Takes in what [host] has reported. */
    public fun received(
        host: HostName,
        report: PlaceReport,
        now: Instant,
    ) {
        val places = report.places.associate { it.target to TargetLoad(it.online, it.batch) }
        synchronized(lock) { reports[host] = ReceivedReport(places, now) }
    }

    /** Forgets what [host] has reported, since it has ended. */
    public fun forget(host: HostName) {
        synchronized(lock) { reports.remove(host) }
    }

    /** Notes that this process has sent a request to [target]. */
    public fun started(
        target: TargetName,
        requestClass: RequestClass,
    ): Unit = synchronized(lock) { count(target, requestClass, 1) }

    /** Notes that a request of this process has left [target]. */
    public fun ended(
        target: TargetName,
        requestClass: RequestClass,
    ): Unit = synchronized(lock) { count(target, requestClass, -1) }

    /** Notes that [target] has answered as it should. */
    public fun succeeded(target: TargetName) {
        synchronized(lock) { failures.remove(target) }
    }

    /** Notes that [target] has failed; it is avoided for a time that grows with each failure in a row. */
    public fun failed(
        target: TargetName,
        now: Instant,
    ) {
        synchronized(lock) {
            val length = (failures[target]?.length ?: 0) + 1
            val wait = settings.firstAvoidance * (1 shl (length - 1).coerceAtMost(MAXIMUM_DOUBLINGS))
            failures[target] = FailureRun(length, avoidedUntil = now + minOf(wait, settings.longestAvoidance))
        }
    }

    /** Returns what this process has at the targets. */
    public fun report(): List<TargetPlaces> =
        synchronized(lock) { ownLoads.map { (target, load) -> TargetPlaces(target, load.online, load.batch) } }

    /** Returns the requests of all processes at [target]. */
    public fun load(
        target: TargetName,
        now: Instant,
    ): TargetLoad = synchronized(lock) { loadOf(target, now) }

    /** Chooses a target of [service] other than [tried] for a request of a caller. */
    public fun place(
        service: ServiceName,
        tried: Set<TargetName>,
        now: Instant,
    ): Placement =
        synchronized(lock) {
            val known = targets.values.filter { it.service == service && !it.leaving }
            if (known.isEmpty()) {
                return Placement.NoTarget
            }
            val untried = known.filter { it.name !in tried }.ifEmpty { known }
            val sound = untried.filterNot { isAvoided(it.name, now) }.ifEmpty { untried }
            turn++
            val best = sound.minWith(comparator(now))
            val load = loadOf(best.name, now)
            if (load.online >= best.places + queueOf(best)) Placement.Full else Placement.At(best)
        }

    /**
     * Chooses a target of [service] with a free place for a batch item, or null when there is none.
     *
     * Where all targets are avoided, the fault may lie with this process, and each of them may be tried.
     */
    public fun placeBatch(
        service: ServiceName,
        now: Instant,
    ): DirectTarget? =
        synchronized(lock) {
            val known = targets.values.filter { it.service == service && !it.leaving }
            known
                .filterNot { isAvoided(it.name, now) }
                .ifEmpty { known }
                .map { FreePlaces(it, it.places - loadOf(it.name, now).total) }
                .filter { it.free > 0 }
                .sortedWith(compareByDescending<FreePlaces> { it.free }.thenBy { it.target.failureDomain != domain })
                .firstOrNull()
                ?.target
        }

    /**
     * Returns how many batch items this process has to stop at each target, so that callers find their places.
     *
     * All runners know the same counts and take their turns in the same order, so they stop no more than they have to.
     */
    public fun itemsToPreempt(now: Instant): Map<TargetName, Int> =
        synchronized(lock) {
            ownLoads
                .filter { it.value.batch > 0 }
                .mapValues { (name, load) -> yieldOf(name, load, now) }
                .filterValues { it > 0 }
        }

    private fun yieldOf(
        name: TargetName,
        ownLoad: TargetLoad,
        now: Instant,
    ): Int {
        val target = targets[name] ?: return 0
        val others = reports.filterValues { isFresh(it, now) }.mapValues { it.value.loads[name]?.batch ?: 0 }
        var excess = loadOf(name, now).total - target.places
        val runners = others.filterValues { it > 0 }.keys + own
        for (runner in RendezvousHash.ranked(name.text, runners) { it.text }) {
            val held = if (runner == own) ownLoad.batch else others.getValue(runner)
            if (runner == own) {
                return excess.coerceIn(0, held)
            }
            excess -= held
        }
        return 0
    }

    /**
     * Orders targets for a request of a caller, the best first.
     *
     * Targets with enough free places count as equal and are drawn by lot: what others report is old by the time of a
     * report, and all entries would send to the one that was emptiest then. Where all are full, the one with the
     * fewest requests of callers comes first, since batch items give up their places.
     */
    private fun comparator(now: Instant): Comparator<DirectTarget> {
        val loads = targets.keys.associateWith { loadOf(it, now) }
        return compareBy(
            { waitingAfter(it, loads.getValue(it.name)) },
            { -freeOf(it, loads.getValue(it.name)) },
            { onlineWhereFull(it, loads.getValue(it.name)) },
            { it.failureDomain != domain },
            { (it.name.text.hashCode() + turn * TURN_STEP) and TURN_MASK },
        )
    }

    /** Free places, as far as they make a difference. */
    private fun freeOf(
        target: DirectTarget,
        load: TargetLoad,
    ): Int = (target.places - load.total).coerceIn(0, settings.ampleFree)

    private fun onlineWhereFull(
        target: DirectTarget,
        load: TargetLoad,
    ): Int = if (load.total < target.places) 0 else load.online

    private fun waitingAfter(
        target: DirectTarget,
        load: TargetLoad,
    ): Int = (load.online + 1 - target.places).coerceAtLeast(0)

    private fun queueOf(target: DirectTarget): Int = ceil(target.places * settings.queueShare).toInt()

    private fun loadOf(
        target: TargetName,
        now: Instant,
    ): TargetLoad {
        var online = ownLoads[target]?.online ?: 0
        var batch = ownLoads[target]?.batch ?: 0
        for (report in reports.values) {
            val load = report.loads[target]
            if (load != null && isFresh(report, now)) {
                online += load.online
                batch += load.batch
            }
        }
        return TargetLoad(online, batch)
    }

    private fun isFresh(
        report: ReceivedReport,
        now: Instant,
    ): Boolean = now - report.receivedAt <= settings.reportMemory

    private fun isAvoided(
        target: TargetName,
        now: Instant,
    ): Boolean = failures[target]?.let { it.avoidedUntil > now } ?: false

    private fun count(
        target: TargetName,
        requestClass: RequestClass,
        step: Int,
    ) {
        val load = ownLoads[target] ?: TargetLoad(0, 0)
        val changed =
            when (requestClass) {
                RequestClass.ONLINE -> load.copy(online = load.online + step)
                RequestClass.BATCH -> load.copy(batch = load.batch + step)
            }
        if (changed.total == 0) ownLoads.remove(target) else ownLoads[target] = changed
    }

    private data class ReceivedReport(
        val loads: Map<TargetName, TargetLoad>,
        val receivedAt: Instant,
    )

    private data class FailureRun(
        val length: Int,
        val avoidedUntil: Instant,
    )

    private data class FreePlaces(
        val target: DirectTarget,
        val free: Int,
    )

    private companion object {
        const val MAXIMUM_DOUBLINGS = 6

        /** Odd, so that ties fall to each target in turn. */
        const val TURN_STEP = 0x9E3779B1.toInt()
        const val TURN_MASK = 0xFFFF
    }
}
