package tanagerlane.entry

import tanagerlane.limits.Permit
import tanagerlane.message.LimitKey
import tanagerlane.message.Nonce
import tanagerlane.model.TargetName

/**
 * Proof that a request was charged to a rate.
 *
 * @property nonces last nonce received from each sidecar before the request was charged
 */
internal data class Charge(
    val key: LimitKey,
    val permit: Permit,
    val nonces: Map<TargetName, Nonce>,
)
