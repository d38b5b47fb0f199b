package tanagerlane.attempts

import tanagerlane.message.AnswerEnd
import tanagerlane.message.AnswerFragment
import tanagerlane.message.AnswerHead
import tanagerlane.model.Payload

/**
 * Forwards one answer to the caller.
 *
 * The head is delayed until the first bytes or the end arrive, so that an attempt whose answer is lost before then can
 * still be retried.
 */
internal class AnswerRelay(
    maximumReorderedBytes: Int,
) {
    private val assembler = AnswerAssembler(maximumReorderedBytes)
    private val pendingPayloads = ArrayList<Payload>()
    private var head: AnswerHead? = null

    /** Whether the head, and so any part of the answer, was forwarded to the caller. */
    var headForwarded = false
        private set

    val received: Long get() = assembler.received

    val isComplete: Boolean get() = head != null && assembler.isComplete

    /** Whether any part of the answer was received. */
    val hasBegun: Boolean get() = head != null || assembler.received > 0 || assembler.hasGap

    /** Whether a part is missing that precedes a part already received. */
    val hasGap: Boolean get() = assembler.hasGap || (head == null && hasBegun)

    fun add(message: AnswerHead): List<AttemptAction> {
        head = head ?: message
        return forward()
    }

    fun add(message: AnswerFragment): List<AttemptAction> {
        pendingPayloads += assembler.add(message)
        return forward()
    }

    fun add(message: AnswerEnd): List<AttemptAction> {
        assembler.length = message.length
        return forward()
    }

    private fun forward(): List<AttemptAction> {
        val receivedHead = head
        if (receivedHead == null || (pendingPayloads.isEmpty() && !assembler.isComplete)) {
            return emptyList()
        }
        val actions = ArrayList<AttemptAction>()
        if (!headForwarded) {
            actions += AttemptAction.DeliverHead(receivedHead.status, receivedHead.headers)
            headForwarded = true
        }
        actions += pendingPayloads.map(AttemptAction::DeliverBytes)
        pendingPayloads.clear()
        return actions
    }
}
