package tanagerlane.joblog

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Estimates the running time of batch items from moving averages over earlier runs.
 *
 * @property eventsPerItem mean number of events of a complete item, or null before the first one
 * @property timePerEvent mean time between two events of a running item
 */
public data class ItemTimeEstimate(
    val eventsPerItem: Double? = null,
    val timePerEvent: Duration = INITIAL_TIME_PER_EVENT,
) {
    /** Returns the estimate updated with a run that produced [events] events in [elapsed]. */
    public fun withRun(
        events: Int,
        elapsed: Duration,
    ): ItemTimeEstimate {
        if (events < MINIMUM_RUN_EVENTS) {
            return this
        }
        return copy(timePerEvent = timePerEvent + (elapsed / events - timePerEvent) * SMOOTHING_FACTOR)
    }

    /** Returns the estimate updated with an item that was complete after [events] events. */
    public fun withItem(events: Int): ItemTimeEstimate {
        val average = eventsPerItem ?: return copy(eventsPerItem = events.toDouble())
        return copy(eventsPerItem = average + (events - average) * SMOOTHING_FACTOR)
    }

    /** Returns the expected remaining time of an item with [events] events; zero before the first item is complete. */
    public fun remaining(events: Int): Duration {
        val expectedEvents = eventsPerItem ?: return Duration.ZERO
        return timePerEvent * (expectedEvents - events).coerceAtLeast(1.0)
    }

    private companion object {
        /** Time per event that is assumed before the first run. */
        val INITIAL_TIME_PER_EVENT = 25.milliseconds

        /** Weight of the newest observation in the exponential moving averages. */
        const val SMOOTHING_FACTOR = 0.1

        /** Runs with fewer events are ignored, since their duration is dominated by the start of the run. */
        const val MINIMUM_RUN_EVENTS = 10
    }
}
