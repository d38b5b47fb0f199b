package tanagerlane.limits

import kotlin.time.Instant

/**
 * A slot whose share of the rates this entry may spend.
 *
 * @property countedFrom time from which the share may be spent; differs for each claim
 * @property validUntil time from which another entry may spend the share
 */
public data class HeldSlot(
    val number: Int,
    val countedFrom: Instant,
    val validUntil: Instant,
) {
    /** Whether [other] is this slot under the same claim, possibly renewed. */
    internal fun isSameClaim(other: HeldSlot): Boolean = number == other.number && countedFrom == other.countedFrom
}
