package tanagerlane.idempotency

import tanagerlane.model.RequestId

/** The decision on [request], which had to wait for the object API. */
public data class DecidedClaim(
    val request: RequestId,
    val decision: ClaimDecision,
)
