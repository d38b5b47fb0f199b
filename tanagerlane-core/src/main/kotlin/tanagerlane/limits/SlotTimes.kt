package tanagerlane.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Terms of slot leases; all entries must use the same.
 *
 * @property renewEvery time between two renewals in the object API
 * @property holdTerm time that a holder counts its slot after it sent a renewal
 * @property takeoverTerm time that a successor must see a slot unchanged before it takes it over
 * @property heartbeatEvery time between two heartbeats to the successor
 * @property promiseTerm time that a successor's promise lasts after the heartbeat was sent
 * @property consentTerm time for which a successor that consented to a takeover gives no promises
 * @property abandonTerm time after which any entry may take over a slot that it saw unchanged
 * @property useTerm time for which an answer of [SlotLeases.held] may be used; longer than [LimitTimes] need for a loan
 * @property margin time that covers the drift of clocks during one term, the term of abandonment aside
 */
public data class SlotTimes(
    val renewEvery: Duration = 5.seconds,
    val holdTerm: Duration = 15.seconds,
    val takeoverTerm: Duration = 18.seconds,
    val heartbeatEvery: Duration = 1.seconds,
    val promiseTerm: Duration = 15.seconds,
    val consentTerm: Duration = 5.seconds,
    val abandonTerm: Duration = 24.hours,
    val useTerm: Duration = 7.seconds,
    val margin: Duration = 500.milliseconds,
) {
    /** Time that a holder counts a slot at most after its last renewal, drift of a hundredth included. */
    internal val longestHold: Duration = abandonTerm - abandonTerm / DRIFT_DIVISOR

    init {
        require(holdTerm + margin <= takeoverTerm) { "takeover after $takeoverTerm may overlap a hold of $holdTerm" }
        require(promiseTerm + margin <= takeoverTerm) {
            "a successor that restarted may take over after $takeoverTerm, within its promise of $promiseTerm"
        }
    }

    private companion object {
        const val DRIFT_DIVISOR = 100
    }
}
