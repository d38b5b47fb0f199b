package tanagerlane.queueing

import kotlin.time.Duration

/** Exponential moving average of the time for which online entries hold a slot. */
internal class HoldTime {
    private var mean: Duration? = null

    fun observe(held: Duration) {
        mean = mean?.let { it + (held - it) * SMOOTHING_FACTOR } ?: held
    }

    /** Returns a conservative estimate of the wait of a new entry behind [entriesAhead] others in [window] slots. */
    fun minimumWait(
        entriesAhead: Int,
        window: Int,
    ): Duration = (mean ?: Duration.ZERO) * (ESTIMATE_FACTOR * (entriesAhead / window))

    private companion object {
        const val SMOOTHING_FACTOR = 0.1

        /** Factor below 1 applied to the estimate, so that an entry that may still start in time is not refused. */
        const val ESTIMATE_FACTOR = 0.5
    }
}
