package tanagerlane.limits

import tanagerlane.model.HostName
import kotlin.time.Instant

/**
 * This entry's lease on a slot.
 *
 * @property renewedAt time at which the last successful renewal was sent
 * @property successors successors named by the last successful renewal
 * @property attemptedAt time of the last attempt to renew
 * @property validUntil time from which another entry may use the slot
 * @property releaseAt time from which the slot object may be released, or null while the slot is in use
 */
internal data class SlotLease(
    val countedFrom: Instant,
    val renewedAt: Instant,
    val successors: List<HostName>,
    val attemptedAt: Instant,
    val validUntil: Instant,
    val releaseAt: Instant? = null,
)
