package tanagerlane.streams

/**
 * Checks that the events of an answer continue a stream whose earlier events came from another answer. Not thread-safe.
 *
 * The numbers of the events of a stream are consecutive. An event without a number is part of the continuation only after
 * one with a number, since nothing else shows where it belongs.
 *
 * @param lastEvent number of the last event received earlier; if null, nothing can continue the stream
 */
public class ResumptionCheck(
    private var lastEvent: Long?,
) {
    /** Whether the answer has continued the stream; one without events doesn't show that the stream is complete. */
    public var hasContinued: Boolean = false
        private set

    /** Returns whether [event] continues the stream; its predecessors must have been accepted. */
    public fun accepts(event: StreamEvent): Boolean {
        val number = event.id ?: return hasContinued
        if (lastEvent?.plus(1) != number) {
            return false
        }
        lastEvent = number
        hasContinued = true
        return true
    }
}
