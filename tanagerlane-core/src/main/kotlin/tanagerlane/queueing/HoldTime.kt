package tanagerlane.queueing

import kotlin.time.Duration

/** Moving mean of how long online entries hold a slot. */
internal class HoldTime {
    private var mean: Duration? = null

    fun observe(held: Duration) {
        mean = mean?.let { it + (held - it) * GAIN } ?: held
    }

    /** Returns the least time that a new entry waits behind [ahead] others in [window] slots, by a cautious estimate. */
    fun leastWait(
        ahead: Int,
        window: Int,
    ): Duration = (mean ?: Duration.ZERO) * (CAUTION * (ahead / window))

    private companion object {
        const val GAIN = 0.1

        /** Part of the estimate that is believed, so that an entry which may yet start in time is not refused. */
        const val CAUTION = 0.5
    }
}
