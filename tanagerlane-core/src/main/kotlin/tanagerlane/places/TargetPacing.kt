package tanagerlane.places

import tanagerlane.model.TargetName
import kotlin.time.Duration
import kotlin.time.Instant

/** Bounds how fast targets are sent requests while it is not known what they bear. Calls are serialized. */
public interface TargetPacing {
    /** Replaces the set of targets that may be selected. */
    public fun configure(
        targets: Collection<DirectTarget>,
        now: Instant,
    )

    /** Whether [target], which has [load] in flight from all processes, may be sent one more request by this one. */
    public fun admits(
        target: DirectTarget,
        load: TargetLoad,
        now: Instant,
    ): Boolean

    /** Records that this process has sent a request to [target]. */
    public fun sent(
        target: TargetName,
        now: Instant,
    )

    /** Records that [target] has begun to answer a request of this process [latency] after it was sent. */
    public fun answered(
        target: TargetName,
        latency: Duration,
        now: Instant,
    )

    /** Records that a request of this process has failed at [target]. */
    public fun failed(
        target: TargetName,
        now: Instant,
    )
}
