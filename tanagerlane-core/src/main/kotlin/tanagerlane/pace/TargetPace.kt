package tanagerlane.pace

import tanagerlane.message.PaceCounts
import tanagerlane.message.PlaceReport
import tanagerlane.model.HostName
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.places.FailureBackoff
import tanagerlane.places.LoadBalancerSettings
import tanagerlane.places.PaceDecision
import tanagerlane.places.TargetLoads
import tanagerlane.places.TargetPacing
import tanagerlane.serving.ServiceSettings
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Limits the requests to targets that have just started, have recovered or are cold.
 *
 * The declared limit of a service is never exceeded. Within it, the adaptive limit applies if [isAdaptive], otherwise
 * the backoff of [backoff].
 *
 * @param own this process
 * @param startedAt start of this process
 * @param serviceOf returns the settings of a service in force, or null if it has none
 * @param backoff settings of the backoff that the adaptive limit replaces
 */
public class TargetPace(
    private val own: PacedProcess,
    startedAt: Instant,
    isAdaptive: Boolean,
    serviceOf: (ServiceName) -> ServiceSettings?,
    settings: PaceSettings = PaceSettings(),
    backoff: LoadBalancerSettings = LoadBalancerSettings(),
) : TargetPacing {
    private val shares = ProcessShares(own, settings)
    private val declared = DeclaredLimit(shares, settings, startedAt, serviceOf)
    private val adaptive = if (isAdaptive) AdaptiveLimit(own.host, shares, settings) else null
    private val inner = adaptive ?: FailureBackoff(backoff.initialBackoff, backoff.maximumBackoff)
    private var targets: Collection<DirectTarget> = emptyList()

    /** Selections in which a target was passed over because its declared rate was used up. */
    public var forbidden: Long = 0
        private set

    /** Selections in which a target was passed over because its window was used up or it was held back. */
    public var heldBack: Long = 0
        private set

    /** Replaces the registered processes. */
    public fun configureProcesses(
        registered: Collection<PacedProcess>,
        now: Instant,
    ): Unit = shares.configure(registered, now)

    override fun configure(
        targets: Collection<DirectTarget>,
        now: Instant,
    ) {
        this.targets = targets
        shares.retainTargets(targets)
        declared.configure(targets, now)
        inner.configure(targets, now)
    }

    override fun admission(
        target: DirectTarget,
        loads: TargetLoads,
        now: Instant,
    ): PaceDecision {
        if (!declared.admits(target, now)) {
            forbidden++
            return PaceDecision.FORBIDDEN
        }
        val decision = inner.admission(target, loads, now)
        if (decision >= PaceDecision.LIMITED) {
            heldBack++
        }
        return decision
    }

    override fun sent(
        target: TargetName,
        now: Instant,
    ): Unit = declared.sent(target, now)

    override fun answered(
        target: TargetName,
        latency: Duration,
        now: Instant,
    ): Unit = inner.answered(target, latency, now)

    override fun succeeded(target: TargetName): Unit = inner.succeeded(target)

    override fun rejected(
        target: TargetName,
        now: Instant,
    ): Unit = inner.rejected(target, now)

    override fun failed(
        target: TargetName,
        now: Instant,
    ): Unit = inner.failed(target, now)

    override fun foundSilent(
        target: TargetName,
        now: Instant,
    ): Unit = inner.foundSilent(target, now)

    override fun received(
        report: PlaceReport,
        now: Instant,
    ): Unit = inner.received(report, now)

    override fun forget(host: HostName): Unit = inner.forget(host)

    override fun report(now: Instant): List<PaceCounts> = inner.report(now)

    /** Returns what limits each of the targets. */
    public fun states(now: Instant): List<TargetState> =
        targets.map { target ->
            val window = adaptive?.window(target.name)
            TargetState(
                target = target.name,
                coldTime = declared.coldTime(target, now),
                isColdTimeTold = target.coldTime != null || !declared.isLimited(target),
                window = window?.size?.toInt(),
                isHeld = window?.let { it.isProbed || it.isHeld(now) } ?: false,
            )
        }
}
