package tanagerlane.entry

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import tanagerlane.message.LimitKey
import tanagerlane.message.Nonce
import tanagerlane.model.TargetName

/**
 * Charges requests to rates, with nonces by which sidecars can tell the age of a charge.
 *
 * @param nonces last nonce received from each connected sidecar
 */
internal class RateCharger(
    private val rates: RateControl,
    private val nonces: () -> Map<TargetName, Nonce>,
) {
    /** Charges one request to [key], or returns a refusal if its rate is exceeded. */
    suspend fun charge(key: LimitKey): Result<Charge, CallerRefusal> {
        val latest = nonces()
        return rates.admit(key).map { permit -> Charge(key, permit, latest) }
    }

    /** Must be called for each charge once its request has arrived at a sidecar or was abandoned. */
    fun settle(charge: Charge) {
        rates.settle(charge.permit)
    }
}
