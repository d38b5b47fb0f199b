package tanagerlane.limits

import tanagerlane.message.LimitKey

/**
 * Rate limit of a key across the whole fleet.
 *
 * @property perSecond sustained rate, in requests a second
 * @property burst maximum number of requests admitted at once
 */
public data class Rate(
    val perSecond: Double,
    val burst: Int,
) {
    init {
        require(perSecond >= 0.0 && perSecond.isFinite()) { "rate is negative or not finite: $perSecond" }
        require(burst >= 0) { "burst is negative: $burst" }
    }

    /** Returns the part of this rate that belongs to [slots]; the parts of all slots add up to the rate. */
    internal fun share(
        key: LimitKey,
        slots: Set<Int>,
        slotCount: Int,
    ): Share {
        val remainder = burst % slotCount
        val start = (key.stableHash() and Long.MAX_VALUE) % slotCount
        val extra = slots.count { (it + start) % slotCount < remainder }
        return Share(
            perSecond = perSecond * slots.size / slotCount,
            capacity = (burst / slotCount) * slots.size + extra,
        )
    }

    internal companion object {
        val NONE: Rate = Rate(perSecond = 0.0, burst = 0)
    }
}
