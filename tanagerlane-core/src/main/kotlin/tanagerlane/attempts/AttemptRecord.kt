package tanagerlane.attempts

import tanagerlane.message.Accepted
import tanagerlane.message.AnswerEnd
import tanagerlane.message.AnswerFragment
import tanagerlane.message.AnswerHead
import tanagerlane.message.AttemptFailed
import tanagerlane.message.WireMessage
import tanagerlane.model.AttemptId
import tanagerlane.model.Incarnation
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import kotlin.time.Instant

/** What a sidecar knows of one attempt; used under the lock of its shard. */
internal class AttemptRecord(
    val attempt: AttemptId,
    val digest: Payload,
    val deadline: Instant,
    private val incarnation: Incarnation,
    var listener: SessionId?,
) {
    var started = false
    var head: AnswerHead? = null
    var length = 0L
        private set
    var bufferedBytes = 0L
        private set
    var outcome: WireMessage? = null
        private set
    var endedAt: Instant? = null
        private set
    var orphanedAt: Instant? = null
    private val fragments = ArrayList<AnswerFragment>()

    /** Makes [session] the listener unless a later connection already listens. */
    fun attach(session: SessionId) {
        val current = listener
        if (current == null || session >= current) {
            listener = session
            orphanedAt = null
        }
    }

    fun append(bytes: Payload): AnswerFragment {
        val fragment = AnswerFragment(attempt = attempt, offset = length, bytes = bytes)
        fragments += fragment
        length += bytes.size
        bufferedBytes += bytes.size
        return fragment
    }

    fun end(
        message: WireMessage,
        now: Instant,
    ) {
        outcome = message
        endedAt = now
    }

    /** Forgets the buffered bytes, whatever becomes of the attempt; returns how many they were. */
    fun dropBytes(): Long {
        val dropped = bufferedBytes
        fragments.clear()
        bufferedBytes = 0
        return dropped
    }

    /** Everything that a listener needs that already has [received] bytes. */
    fun messagesFrom(received: Long): List<WireMessage> {
        val ended = outcome
        return when {
            ended is AttemptFailed -> listOf(ended)
            received < length - bufferedBytes -> listOf(lost())
            else -> listOf(Accepted(attempt, incarnation)) + listOfNotNull(head) + rest(received) + listOfNotNull(ended)
        }
    }

    fun delivery(message: WireMessage): Delivery? = listener?.let { Delivery(it, listOf(message)) }

    fun ended(): AnswerEnd = AnswerEnd(attempt, length)

    private fun rest(received: Long): List<AnswerFragment> = fragments.filter { it.offset + it.bytes.size > received }

    private fun lost() = AttemptFailed(attempt, RunState.UNKNOWN, RefusalReason.OUTCOME_UNKNOWN)
}
