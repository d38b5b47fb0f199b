package tanagerlane.pace

import tanagerlane.message.PaceCounts
import tanagerlane.message.PlaceReport
import tanagerlane.model.HostName
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.places.PaceDecision
import tanagerlane.places.TargetLoads
import tanagerlane.places.TargetPacing
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Finds how many requests targets bear that have just been registered or have just failed; see [TargetWindow].
 *
 * Every process derives the window of a target from its own observations and those that the others report, and uses its
 * share of it. Nothing is kept or reported of targets at full pace. Not thread-safe.
 */
internal class AdaptiveLimit(
    private val own: HostName,
    private val shares: ProcessShares,
    private val settings: PaceSettings,
) : TargetPacing {
    private var targets: Map<TargetName, DirectTarget> = emptyMap()
    private val windows = HashMap<TargetName, TargetWindow>()
    private val ownCounts = HashMap<TargetName, PaceCounts>()
    private val observed = ObservedCounts()
    private val latencies = HashMap<ServiceName, Duration>()

    /** Returns the window of [target], or null if it is at full pace. */
    fun window(target: TargetName): TargetWindow? = windows[target]?.takeIf { !it.isFull }

    /** The targets that were there when this process started are taken to be at full pace. */
    override fun configure(
        targets: Collection<DirectTarget>,
        now: Instant,
    ) {
        val before = this.targets
        this.targets = targets.associateBy { it.name }
        if (before.isNotEmpty()) {
            for (target in targets) {
                if (target.name !in before) {
                    windows.getOrPut(target.name) { TargetWindow(settings, target.places, settings.firstWindow, now) }
                }
            }
        }
        if (before.keys != this.targets.keys) {
            windows.keys.retainAll(this.targets.keys)
            ownCounts.keys.retainAll(this.targets.keys)
            observed.retainTargets(this.targets.keys)
        }
        windows.values.removeIf { !it.expire(now) }
    }

    override fun admission(
        target: DirectTarget,
        loads: TargetLoads,
        now: Instant,
    ): PaceDecision {
        val window = window(target.name) ?: return PaceDecision.ADMITTED
        return when {
            window.isHeld(now) -> PaceDecision.HELD
            window.isProbed -> probe(target, window, loads, now)
            window.isWide -> PaceDecision.ADMITTED
            else -> withinWindow(target, window, loads, now)
        }
    }

    override fun answered(
        target: TargetName,
        latency: Duration,
        now: Instant,
    ) {
        val service = targets[target]?.service ?: return
        val usual = latencies[service]
        val window = window(target)
        if (window == null) {
            latencies[service] = if (usual == null) latency else usual + (latency - usual) * LATENCY_WEIGHT
            return
        }
        val isLate = usual != null && latency > usual * settings.lateFactor + settings.lateMargin
        window.answered(answers = 1, late = if (isLate) 1 else 0, isOwn = true, now)
        count(target) { if (isLate) it.copy(late = it.late + 1) else it.copy(inTime = it.inTime + 1) }
    }

    override fun rejected(
        target: TargetName,
        now: Instant,
    ) {
        windows[target]?.let {
            it.rejected(now)
            count(target) { counts -> counts.copy(late = counts.late + 1) }
        }
    }

    override fun failed(
        target: TargetName,
        now: Instant,
    ) {
        val window = windowFor(target, now) ?: return
        if (!window.isHeldSilent(now)) {
            window.failed(own, isOwn = true, now)
            count(target) { it.copy(failed = it.failed + 1) }
        }
    }

    /** Requests that find a target silent while it is held back were sent before, so they count as one failure. */
    override fun foundSilent(
        target: TargetName,
        now: Instant,
    ) {
        if (windows[target]?.isHeld(now) != true) {
            failed(target, now)
        }
        windows[target]?.foundSilent()
    }

    override fun received(
        report: PlaceReport,
        now: Instant,
    ) {
        for (change in observed.received(report, now)) {
            if (change.isFirst) {
                adopt(change, now)
                continue
            }
            if (change.inTime + change.late > 0) {
                window(change.target)?.answered(change.inTime + change.late, change.late, isOwn = false, now)
            }
            if (change.failed > 0 && !observed.isSuspect(report.host, targets.size, now)) {
                windowFor(change.target, now)?.failed(report.host, isOwn = false, now)
            }
        }
    }

    override fun forget(host: HostName): Unit = observed.forget(host)

    override fun report(now: Instant): List<PaceCounts> =
        if (windows.isEmpty()) {
            emptyList()
        } else {
            windows.entries
                .sortedByDescending { it.value.changedAt }
                .take(settings.reportedTargets)
                .map { (target, window) -> countsOf(target).copy(window = window.size.toInt()) }
        }

    /** A process that has just started takes over what the others have found. */
    private fun adopt(
        change: PaceChange,
        now: Instant,
    ) {
        val target = targets[change.target]?.takeIf { change.window < it.places } ?: return
        windows.getOrPut(change.target) { TargetWindow(settings, target.places, change.window.toDouble(), now) }
    }

    /** One process at a time sends a single request; the others follow in turn if it has none to send. */
    private fun probe(
        target: DirectTarget,
        window: TargetWindow,
        loads: TargetLoads,
        now: Instant,
    ): PaceDecision {
        val turn = shares.ownTurn(target.name)
        val isFree = if (turn == 0) loads.own(target.name) == 0 else loads.ofAll(target.name, now).total == 0
        return if (isFree &&
            window.timeSinceHold(now) >= settings.probeStep * turn
        ) {
            PaceDecision.PROBE
        } else {
            PaceDecision.HELD
        }
    }

    private fun withinWindow(
        target: DirectTarget,
        window: TargetWindow,
        loads: TargetLoads,
        now: Instant,
    ): PaceDecision {
        val inFlight = loads.ofAll(target.name, now).total
        val share =
            maxOf(shares.ownListedShare(window.size.toInt(), target.name), leastShare(target, window, now))
        return when {
            inFlight >= window.size || loads.own(target.name) >= share -> PaceDecision.LIMITED
            inFlight == 0 -> PaceDecision.PROBE
            else -> PaceDecision.ADMITTED
        }
    }

    /** Processes without a share follow in turn if those with one have no requests to send. */
    private fun leastShare(
        target: DirectTarget,
        window: TargetWindow,
        now: Instant,
    ): Int {
        val waited = window.timeSinceChange(now) - settings.growthTimeout
        return if (waited >= settings.probeStep * shares.ownTurn(target.name)) 1 else 0
    }

    private fun windowFor(
        target: TargetName,
        now: Instant,
    ): TargetWindow? {
        val known = targets[target] ?: return null
        return windows.getOrPut(target) { TargetWindow.full(known, settings, now) }
    }

    private fun count(
        target: TargetName,
        change: (PaceCounts) -> PaceCounts,
    ) {
        ownCounts[target] = change(countsOf(target))
    }

    private fun countsOf(target: TargetName): PaceCounts = ownCounts[target] ?: PaceCounts(target, 0, 0, 0, 0)

    private companion object {
        /** Weight of the newest latency in the usual latency of a service. */
        const val LATENCY_WEIGHT = 0.05
    }
}
