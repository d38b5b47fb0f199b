package tanagerlane.sidecar

import tanagerlane.streams.AnswerLimits
import tanagerlane.streams.EventAssembler

/**
 * Checks the answer of a target against [AnswerLimits] while it is received.
 *
 * @param isStream whether the answer consists of events
 */
internal class AnswerLimitChecker(
    private val isStream: Boolean,
) {
    private val events = EventAssembler()
    private val maximumBytes =
        if (isStream) AnswerLimits.MAXIMUM_STREAM_BYTES else AnswerLimits.MAXIMUM_ANSWER_BYTES.toLong()
    private var receivedBytes = 0L

    /** Whether the answer is a stream and an event of it is unfinished. */
    val isInsideEvent: Boolean get() = events.isInsideEvent

    /** Counts [bytes] and throws [AnswerLimitException] if the answer exceeds a limit with them. */
    fun add(bytes: ByteArray) {
        receivedBytes += bytes.size
        if (receivedBytes > maximumBytes) {
            throw AnswerLimitException("answer of $receivedBytes bytes exceeds the limit of $maximumBytes bytes")
        }
        if (isStream) {
            events.accept(bytes)
            if (events.isOverlong) {
                throw AnswerLimitException("event exceeds the limit of ${AnswerLimits.MAXIMUM_EVENT_BYTES} bytes")
            }
        }
    }
}
