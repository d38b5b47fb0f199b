package tanagerlane.places

import tanagerlane.model.TargetName
import kotlin.time.Instant

/** Requests in flight to targets. */
public interface TargetLoads {
    /** Returns the requests that all processes have in flight to [target]. */
    public fun ofAll(
        target: TargetName,
        now: Instant,
    ): TargetLoad

    /** Returns the number of requests that this process has in flight to [target]. */
    public fun own(target: TargetName): Int
}
