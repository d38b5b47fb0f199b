package tanagerlane.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Terms and time-outs of the limiter; all entries must use the same values.
 *
 * @property loanTerm time for which a pool uses a loan, from the sending of the nonce that the lender echoed
 * @property renewalInterval time between two loan calls that renew the loans
 * @property permitValidity time within which an admitted request must arrive at its target's sidecar
 * @property driftMargin allowance for clock drift during one term
 * @property poolRequestTimeout time that a request waits for the answer of the pool's host before it is refused
 * @property loanCallTimeout time that a new pool waits for the answers of its lenders before it refuses requests
 * @property idleTimeout time without requests after which a pool returns its loans
 */
public data class LimitTimes(
    val loanTerm: Duration = 2.seconds,
    val renewalInterval: Duration = 500.milliseconds,
    val permitValidity: Duration = 2.seconds,
    val driftMargin: Duration = 250.milliseconds,
    val poolRequestTimeout: Duration = 250.milliseconds,
    val loanCallTimeout: Duration = 100.milliseconds,
    val idleTimeout: Duration = 10.seconds,
) {
    /** Time after the last renewal of a loan after which the lender may spend the share again. */
    internal val reclaimAfter: Duration = loanTerm + permitValidity + driftMargin

    init {
        require(renewalInterval < loanTerm) { "renewal interval $renewalInterval is not below the loan term $loanTerm" }
        require(driftMargin > Duration.ZERO) { "drift margin is not positive: $driftMargin" }
    }
}
