package tanagerlane.idempotency

import tanagerlane.model.RequestId

/** The decision on [request], which was waiting for the object API. */
public data class DecidedClaim(
    val request: RequestId,
    val decision: ClaimDecision,
)
