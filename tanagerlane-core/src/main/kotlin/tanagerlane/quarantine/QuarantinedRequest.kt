package tanagerlane.quarantine

import tanagerlane.model.RequestDigest
import kotlin.time.Instant

/**
 * A request that is refused, because targets crashed one after the other while they ran it.
 *
 * @property crashes number of these crashes
 * @property until time from which the request is sent to targets again
 */
public data class QuarantinedRequest(
    val request: RequestDigest,
    val crashes: Int,
    val until: Instant,
)
