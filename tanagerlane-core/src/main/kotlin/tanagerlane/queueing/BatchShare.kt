package tanagerlane.queueing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Slots that batch entries may take: fewer when online first tokens come late, more as time passes without.
 *
 * Additive increase and multiplicative decrease; never below one slot, so that batch goes on in a free window.
 */
internal class BatchShare {
    private var slots = Double.MAX_VALUE
    private var decreased: Instant? = null
    private var increased: Instant? = null
    private var wasBusy = false

    /** Most batch entries that may run in [window]. */
    fun limit(window: Int): Int = minOf(slots, window.toDouble()).toInt()

    /** Takes in that an online entry's first token came after [latency]. */
    fun observe(
        latency: Duration,
        settings: QueueSettings,
        now: Instant,
    ) {
        val late = latency > settings.firstTokenTarget
        if (late && decreased.let { it == null || now - it >= DECREASE_INTERVAL }) {
            slots = maxOf(MINIMUM, minOf(slots, settings.window.toDouble()) * DECREASE)
            decreased = now
        }
    }

    /** Takes in that the time is [now]; [busy] says whether online entries wait or run from here on. */
    fun increase(
        busy: Boolean,
        window: Int,
        now: Instant,
    ) {
        val recovery = if (wasBusy) BUSY_RECOVERY else IDLE_RECOVERY
        val elapsed = now - (increased ?: now)
        slots = minOf(window.toDouble(), slots + window * (elapsed / recovery))
        increased = now
        wasBusy = busy
    }

    private companion object {
        /** Slots. */
        const val MINIMUM = 1.0

        /** Factor for a first token that is late. */
        const val DECREASE = 0.5

        /** Time within which late first tokens count as one. */
        val DECREASE_INTERVAL = 100.milliseconds

        /** Time in which the share grows from nothing to the whole window while there are online entries. */
        val BUSY_RECOVERY = 10.seconds

        /** The same while there are none. */
        val IDLE_RECOVERY = 1.seconds
    }
}
