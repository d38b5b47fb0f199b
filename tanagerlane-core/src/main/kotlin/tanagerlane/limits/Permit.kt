package tanagerlane.limits

import tanagerlane.message.LimitKey
import tanagerlane.message.TokenId
import tanagerlane.model.HostName
import kotlin.time.Instant

/**
 * Permission to run one request.
 *
 * @property grantedBy entry that debited the token
 * @property validUntil time before which the request must arrive at its target's sidecar
 */
public data class Permit(
    val key: LimitKey,
    val token: TokenId,
    val grantedBy: HostName,
    val validUntil: Instant,
)
