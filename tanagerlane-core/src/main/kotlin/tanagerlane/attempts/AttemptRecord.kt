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

/** State of one attempt on a sidecar; guarded by the lock of its shard. */
internal class AttemptRecord(
    val attempt: AttemptId,
    val digest: Payload,
    val deadline: Instant,
    private val incarnation: Incarnation,
    source: OfferSource,
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
        private set
    private val listeners = linkedMapOf(source.host to source.session)
    private val fragments = ArrayList<AnswerFragment>()

    /** Adds [source] to the listeners: several hosts may share an attempt, each through its newest connection. */
    fun attach(source: OfferSource) {
        listeners.merge(source.host, source.session, ::maxOf)
        orphanedAt = null
    }

    fun detach(
        session: SessionId,
        now: Instant,
    ) {
        if (listeners.values.remove(session) && listeners.isEmpty()) {
            orphanedAt = now
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

    /** Discards the buffered bytes, regardless of the state of the attempt, and returns how many there were. */
    fun dropBytes(): Long {
        val dropped = bufferedBytes
        fragments.clear()
        bufferedBytes = 0
        return dropped
    }

    /** Returns the messages needed by a listener that already has [received] bytes of the body. */
    fun messagesFrom(received: Long): List<WireMessage> {
        val ended = outcome
        return when {
            ended is AttemptFailed -> listOf(ended)
            received < length - bufferedBytes -> listOf(bytesDiscarded())
            else -> listOf(Accepted(attempt, incarnation)) + listOfNotNull(head) + rest(received) + listOfNotNull(ended)
        }
    }

    fun delivery(message: WireMessage): Delivery? =
        if (listeners.isEmpty()) null else Delivery(listeners.values.toSet(), listOf(message))

    fun endMessage(): AnswerEnd = AnswerEnd(attempt, length)

    private fun rest(received: Long): List<AnswerFragment> = fragments.filter { it.offset + it.bytes.size > received }

    private fun bytesDiscarded() = AttemptFailed(attempt, RunState.UNKNOWN, RefusalReason.OUTCOME_UNKNOWN)
}
