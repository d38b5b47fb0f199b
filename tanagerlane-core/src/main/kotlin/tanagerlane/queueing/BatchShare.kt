package tanagerlane.queueing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Slots that batch entries may take: fewer when online first tokens come late, more while they come in time.
 *
 * Additive increase and multiplicative decrease; never below one slot, so that batch goes on in a free window.
 */
internal class BatchShare {
    private var slots = Double.MAX_VALUE
    private var decreased: Instant? = null
    private var recovered: Instant? = null

    /** Most batch entries that may run in [window]. */
    fun limit(window: Int): Int = minOf(slots, window.toDouble()).toInt()

    /** Takes in that an online entry's first token came after [latency]. */
    fun observe(
        latency: Duration,
        settings: QueueSettings,
        now: Instant,
    ) {
        slots = minOf(slots, settings.window.toDouble())
        if (latency <= settings.firstTokenTarget) {
            slots += INCREASE
        } else if (decreased.let { it == null || now - it >= DECREASE_INTERVAL }) {
            slots = maxOf(MINIMUM, slots * DECREASE)
            decreased = now
        }
    }

    /** Takes in that from [now] on online entries wait or run, or that there are none. */
    fun recover(
        busy: Boolean,
        window: Int,
        now: Instant,
    ) {
        val since = recovered
        recovered = if (busy) null else now
        if (since != null) {
            slots += window * ((now - since).toDouble(DurationUnit.SECONDS) / RECOVERY.toDouble(DurationUnit.SECONDS))
            slots = minOf(slots, window.toDouble())
        }
    }

    private companion object {
        /** Slots. */
        const val MINIMUM = 1.0

        /** Slots for each first token in time. */
        const val INCREASE = 0.25

        /** Factor for a first token that is late. */
        const val DECREASE = 0.5

        /** Time within which late first tokens count as one. */
        val DECREASE_INTERVAL = 100.milliseconds

        /** Time without online entries in which the share grows from nothing to the whole window. */
        val RECOVERY = 1.seconds
    }
}
