package tanagerlane.limits

import kotlin.time.Instant

/**
 * A slot whose share this entry may count.
 *
 * @property countedFrom time from which it is counted; differs from one claim to the next
 * @property validUntil time from which another entry may count it
 */
public data class HeldSlot(
    val number: Int,
    val countedFrom: Instant,
    val validUntil: Instant,
) {
    /** Whether [other] is this slot under the same claim, perhaps renewed. */
    internal fun isSameClaim(other: HeldSlot): Boolean = number == other.number && countedFrom == other.countedFrom
}
