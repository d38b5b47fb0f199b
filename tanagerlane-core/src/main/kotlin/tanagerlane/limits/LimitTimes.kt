package tanagerlane.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Terms of the limiter; all entries must use the same.
 *
 * @property loanTerm time for which a pool counts a loan after it sent the nonce that the lender echoed
 * @property renewEvery time between two calls for renewal
 * @property permitValidity time within which an admitted request must arrive at its target's sidecar
 * @property margin time that covers the drift of clocks during one term
 * @property askPatience time that a request waits for the pool's host
 * @property callPatience time that a new pool waits for its lenders before it refuses
 * @property idleAfter time without requests after which a pool gives its loans back
 */
public data class LimitTimes(
    val loanTerm: Duration = 2.seconds,
    val renewEvery: Duration = 500.milliseconds,
    val permitValidity: Duration = 2.seconds,
    val margin: Duration = 250.milliseconds,
    val askPatience: Duration = 250.milliseconds,
    val callPatience: Duration = 100.milliseconds,
    val idleAfter: Duration = 10.seconds,
) {
    /** Time after which a lender may count a share again that it last agreed to lend. */
    internal val reclaimAfter: Duration = loanTerm + permitValidity + margin

    init {
        require(renewEvery < loanTerm) { "renewal every $renewEvery is not below the term of $loanTerm" }
        require(margin > Duration.ZERO) { "margin is not positive: $margin" }
    }
}
