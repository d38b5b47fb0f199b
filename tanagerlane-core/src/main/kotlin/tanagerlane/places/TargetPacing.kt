package tanagerlane.places

import tanagerlane.message.PaceCounts
import tanagerlane.message.PlaceReport
import tanagerlane.model.HostName
import tanagerlane.model.TargetName
import kotlin.time.Duration
import kotlin.time.Instant

/** Bounds how fast targets are sent requests while it is not known what they bear. Calls are serialized. */
public interface TargetPacing {
    /** Replaces the set of targets that may be selected by [targets]; each reading of a registration is a new object. */
    public fun configure(
        targets: Collection<DirectTarget>,
        now: Instant,
    ) {}

    /** Returns whether this process may send one more request to [target], to which [loads] are in flight. */
    public fun admission(
        target: DirectTarget,
        loads: TargetLoads,
        now: Instant,
    ): PaceDecision

    /** Records that this process has sent a request to [target]. */
    public fun sent(
        target: TargetName,
        now: Instant,
    ) {}

    /** Records that [target] has begun to answer a request of this process [latency] after it was sent. */
    public fun answered(
        target: TargetName,
        latency: Duration,
        now: Instant,
    ) {}

    /** Records that [target] has answered a request of this process completely. */
    public fun succeeded(target: TargetName) {}

    /** Records that [target] has refused a request of this process without running it. */
    public fun rejected(
        target: TargetName,
        now: Instant,
    ) {}

    /** Records that a request of this process has failed at [target]. */
    public fun failed(
        target: TargetName,
        now: Instant,
    )

    /**
     * Records that a request of this process has found [target] silent, whether it stays there or leaves.
     *
     * Other requests may find the same silence. Those that leave are recorded as failed afterwards.
     */
    public fun foundSilent(
        target: TargetName,
        now: Instant,
    ): Unit = failed(target, now)

    /** Records what the sender of [report] has observed. */
    public fun received(
        report: PlaceReport,
        now: Instant,
    ) {}

    /** Discards what is known of [host], which has terminated, other than its observations. */
    public fun forget(host: HostName) {}

    /** Returns what this process has observed of the targets that are not at full pace. */
    public fun report(now: Instant): List<PaceCounts> = emptyList()
}
