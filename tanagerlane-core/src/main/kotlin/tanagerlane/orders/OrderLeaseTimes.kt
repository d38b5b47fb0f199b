package tanagerlane.orders

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Times of one claim.
 *
 * @property term time from the claim after which its holder has nothing more under way
 * @property callTimeout longest time that one call to the target may take
 * @property clockDriftMargin most by which two hosts' clocks may come apart within a term
 */
public data class OrderLeaseTimes(
    val term: Duration = 15.seconds,
    val callTimeout: Duration = 5.seconds,
    val clockDriftMargin: Duration = 1.seconds,
) {
    init {
        require(
            callTimeout + clockDriftMargin < term,
        ) { "a call of $callTimeout does not fit in $term less $clockDriftMargin" }
    }
}
