package tanagerlane.limits

import tanagerlane.message.LimitKey

/**
 * Requests that a key may make across the whole fleet.
 *
 * @property perSecond requests a second in the long run
 * @property burst most requests at one moment
 */
public data class Rate(
    val perSecond: Double,
    val burst: Int,
) {
    init {
        require(perSecond >= 0.0 && perSecond.isFinite()) { "rate is not a finite, positive number: $perSecond" }
        require(burst >= 0) { "burst is negative: $burst" }
    }

    /** The part of this rate that [slots] carry; the parts of all slots make up the whole. */
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
