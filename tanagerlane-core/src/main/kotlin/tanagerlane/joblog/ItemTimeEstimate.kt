package tanagerlane.joblog

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How fast items run, learned from runs and results.
 *
 * @property eventsOfItem events of a whole item
 * @property timeOfEvent time that an event takes while the item runs
 */
public data class ItemTimeEstimate(
    val eventsOfItem: Double? = null,
    val timeOfEvent: Duration = FIRST_TIME_OF_EVENT,
) {
    /** Takes in a run that brought [events] in [elapsed]. */
    public fun withRun(
        events: Int,
        elapsed: Duration,
    ): ItemTimeEstimate {
        if (events < FEWEST_EVENTS) {
            return this
        }
        return copy(timeOfEvent = timeOfEvent + (elapsed / events - timeOfEvent) * WEIGHT_OF_NEWEST)
    }

    /** Takes in an item that ended after [events]. */
    public fun withItem(events: Int): ItemTimeEstimate {
        val before = eventsOfItem ?: return copy(eventsOfItem = events.toDouble())
        return copy(eventsOfItem = before + (events - before) * WEIGHT_OF_NEWEST)
    }

    /** Time that an item with [events] still has to run; zero before the first item has ended. */
    public fun remaining(events: Int): Duration {
        val expected = eventsOfItem ?: return Duration.ZERO
        return timeOfEvent * (expected - events).coerceAtLeast(1.0)
    }

    private companion object {
        /** Time of an event before the first run. */
        val FIRST_TIME_OF_EVENT = 25.milliseconds

        /** Share that the newest observation has in an average. */
        const val WEIGHT_OF_NEWEST = 0.1

        /** Events of a run below which its length says more about its start than about its pace. */
        const val FEWEST_EVENTS = 10
    }
}
