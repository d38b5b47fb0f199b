package tanagerlane.queueing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Limits the slots that batch entries may take. The limit shrinks when first tokens of online entries are late and
 * grows over time while they are not.
 *
 * Additive increase, multiplicative decrease. Never below one slot, so that batch entries progress in a free window.
 */
internal class BatchConcurrencyLimit {
    private var slots = Double.MAX_VALUE
    private var lastDecrease: Instant? = null
    private var lastIncrease: Instant? = null
    private var wasBusy = false

    /** Maximum number of batch entries that may run in a window of [window] slots. */
    fun limit(window: Int): Int = minOf(slots, window.toDouble()).toInt()

    /** Records that an online entry's first token arrived after [latency]. */
    fun observe(
        latency: Duration,
        settings: QueueSettings,
        now: Instant,
    ) {
        val late = latency > settings.firstTokenTarget
        if (late && lastDecrease.let { it == null || now - it >= DECREASE_INTERVAL }) {
            slots = maxOf(MINIMUM_SLOTS, minOf(slots, settings.window.toDouble()) * DECREASE_FACTOR)
            lastDecrease = now
        }
    }

    /** Raises the limit for the time up to [now]; [busy] tells whether online entries wait or run from [now] on. */
    fun increase(
        busy: Boolean,
        window: Int,
        now: Instant,
    ) {
        val recovery = if (wasBusy) BUSY_RECOVERY else IDLE_RECOVERY
        val elapsed = now - (lastIncrease ?: now)
        slots = minOf(window.toDouble(), slots + window * (elapsed / recovery))
        lastIncrease = now
        wasBusy = busy
    }

    private companion object {
        /** Lowest limit, in slots. */
        const val MINIMUM_SLOTS = 1.0

        /** Factor applied to the limit when a first token is late. */
        const val DECREASE_FACTOR = 0.5

        /** Time within which late first tokens count as one. */
        val DECREASE_INTERVAL = 100.milliseconds

        /** Time in which the limit grows from zero to the whole window while there are online entries. */
        val BUSY_RECOVERY = 10.seconds

        /** Time in which the limit grows from zero to the whole window while there are no online entries. */
        val IDLE_RECOVERY = 1.seconds
    }
}
