package tanagerlane.orders

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Durations that govern one claim of an order.
 *
 * @property term time from the claim after which its holder has no call in progress
 * @property callTimeout longest time that one call to the target may take
 * @property clockDriftMargin maximum drift between two hosts' clocks within one term
 */
public data class OrderLeaseTimes(
    val term: Duration = 15.seconds,
    val callTimeout: Duration = 5.seconds,
    val clockDriftMargin: Duration = 1.seconds,
) {
    init {
        require(
            callTimeout + clockDriftMargin < term,
        ) { "callTimeout $callTimeout does not fit in term $term minus clockDriftMargin $clockDriftMargin" }
    }
}
