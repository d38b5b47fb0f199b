package tanagerlane.sidecar

import tanagerlane.streams.AnswerLimits
import tanagerlane.streams.EventAssembler

/**
 * Checks an answer that is passed on against [AnswerLimits].
 *
 * @param isStream whether the answer consists of events
 */
internal class AnswerBounds(
    private val isStream: Boolean,
) {
    private val events = EventAssembler()
    private val maximumBytes =
        if (isStream) AnswerLimits.MAXIMUM_STREAM_BYTES else AnswerLimits.MAXIMUM_ANSWER_BYTES.toLong()
    private var received = 0L

    /** Takes in [bytes] and throws [EndlessAnswerException] when the answer is over a bound with them. */
    fun take(bytes: ByteArray) {
        received += bytes.size
        if (received > maximumBytes) {
            throw EndlessAnswerException("answer of $received bytes, most $maximumBytes")
        }
        if (isStream) {
            events.accept(bytes)
            if (events.isOverlong) {
                throw EndlessAnswerException("event over ${AnswerLimits.MAXIMUM_EVENT_BYTES} bytes")
            }
        }
    }
}
