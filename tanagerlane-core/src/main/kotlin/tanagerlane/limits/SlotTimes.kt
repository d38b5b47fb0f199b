package tanagerlane.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Terms and intervals of slot leases; all entries must use the same values.
 *
 * @property renewalInterval time between two renewals of the slot object in the object API
 * @property holdTerm time for which a holder may use its slot after it sent a renewal
 * @property takeoverTerm time for which a successor must observe a slot unchanged before it takes it over
 * @property heartbeatInterval time between two heartbeats to the successors
 * @property promiseTerm time for which a successor's promise is valid, from the sending of the heartbeat
 * @property consentTerm time for which a successor that consented to a takeover gives no promises
 * @property abandonmentTerm time after which any entry may take over a slot that it has observed unchanged
 * @property useTerm time for which a result of [SlotLeases.held] may be used; longer than [LimitTimes] need for a loan
 * @property driftMargin allowance for clock drift during one term, except the abandonment term
 */
public data class SlotTimes(
    val renewalInterval: Duration = 5.seconds,
    val holdTerm: Duration = 15.seconds,
    val takeoverTerm: Duration = 18.seconds,
    val heartbeatInterval: Duration = 1.seconds,
    val promiseTerm: Duration = 15.seconds,
    val consentTerm: Duration = 5.seconds,
    val abandonmentTerm: Duration = 24.hours,
    val useTerm: Duration = 7.seconds,
    val driftMargin: Duration = 500.milliseconds,
) {
    /** Maximum time for which a holder uses a slot after its last renewal; allows for a clock drift of 1 %. */
    internal val maximumHoldTerm: Duration = abandonmentTerm - abandonmentTerm / DRIFT_DIVISOR

    init {
        require(
            holdTerm + driftMargin <= takeoverTerm,
        ) { "takeover term $takeoverTerm may overlap the hold term $holdTerm" }
        require(promiseTerm + driftMargin <= takeoverTerm) {
            "a restarted successor may take over after the term $takeoverTerm, within its promise term $promiseTerm"
        }
    }

    private companion object {
        const val DRIFT_DIVISOR = 100
    }
}
