package tanagerlane.entry

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import tanagerlane.message.LimitKey
import tanagerlane.message.Nonce
import tanagerlane.model.TargetName

/**
 * Charges requests so that sidecars can tell how old a charge is.
 *
 * @param nonces last nonce of each connected sidecar
 */
internal class RateCharger(
    private val rates: RateControl,
    private val nonces: () -> Map<TargetName, Nonce>,
) {
    /** Charges one request to [key]. */
    suspend fun charge(key: LimitKey): Result<Charge, CallerRefusal> {
        val known = nonces()
        return rates.admit(key).map { permit -> Charge(key, permit, known) }
    }

    /** Notes that the request of [charge] has arrived at a sidecar or was given up. */
    fun settle(charge: Charge) {
        rates.settle(charge.permit)
    }
}
