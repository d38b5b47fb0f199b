package tanagerlane.limits

import tanagerlane.model.HostName
import kotlin.time.Instant

/**
 * This entry's hold on a slot.
 *
 * @property renewedAt time at which the last renewal that took effect was sent
 * @property successors entries that the last renewal named
 * @property attemptedAt time of the last attempt to renew
 * @property validUntil time from which another entry may count the slot
 * @property releaseAt time from which the object may be released, or null while the slot is in use
 */
internal data class SlotLease(
    val countedFrom: Instant,
    val renewedAt: Instant,
    val successors: List<HostName>,
    val attemptedAt: Instant,
    val validUntil: Instant,
    val releaseAt: Instant? = null,
)
