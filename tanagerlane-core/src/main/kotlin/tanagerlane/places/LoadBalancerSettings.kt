package tanagerlane.places

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How places are shared out.
 *
 * @property queueShare requests of callers that may wait at a target, as a share of its places
 * @property ampleFree free places from which on targets count as equally good for a request of a caller
 * @property reportMemory time for which the last report of a silent process still counts
 * @property firstAvoidance time for which a target is avoided after its first failure in a row
 * @property longestAvoidance time that no avoidance exceeds
 */
public data class LoadBalancerSettings(
    val queueShare: Double = 0.25,
    val ampleFree: Int = 2,
    val reportMemory: Duration = 3.seconds,
    val firstAvoidance: Duration = 200.milliseconds,
    val longestAvoidance: Duration = 4.seconds,
)
