package tanagerlane.streams

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Limits the duration of an event; one that grows by a byte now and then never ends otherwise.
 *
 * @param maximumDuration time limit from the first piece of an event to its last
 */
public class PartialEventTimer(
    private val maximumDuration: Duration,
) {
    private var since: Instant? = null

    /** Records a piece; [isInside] is whether it left an event unfinished, [hasEnded] whether it ended one. */
    public fun update(
        isInside: Boolean,
        hasEnded: Boolean,
        now: Instant,
    ) {
        since =
            when {
                !isInside -> null
                hasEnded -> now
                else -> since ?: now
            }
    }

    /** Returns the time that the event has left; infinite where none has begun. */
    public fun timeLeft(now: Instant): Duration = since?.let { maximumDuration - (now - it) } ?: Duration.INFINITE
}
