package tanagerlane.sidecar

import tanagerlane.streams.AnswerLimits
import tanagerlane.streams.EventAssembler

/**
 * Checks an answer that is passed on against [AnswerLimits].
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

    /** Takes in [bytes] and throws [AnswerLimitException] when the answer is over a bound with them. */
    fun add(bytes: ByteArray) {
        receivedBytes += bytes.size
        if (receivedBytes > maximumBytes) {
            throw AnswerLimitException("answer of $receivedBytes bytes, most $maximumBytes")
        }
        if (isStream) {
            events.accept(bytes)
            if (events.isOverlong) {
                throw AnswerLimitException("event over ${AnswerLimits.MAXIMUM_EVENT_BYTES} bytes")
            }
        }
    }
}
