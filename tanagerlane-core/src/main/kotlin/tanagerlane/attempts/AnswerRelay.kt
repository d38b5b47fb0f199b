package tanagerlane.attempts

import tanagerlane.message.AnswerEnd
import tanagerlane.message.AnswerFragment
import tanagerlane.message.AnswerHead
import tanagerlane.model.Payload

/**
 * Passes one answer on to the caller.
 *
 * The head waits for the first bytes or the end, so that an answer lost before them can still be tried again.
 */
internal class AnswerRelay(
    maximumReorderedBytes: Int,
) {
    private val assembler = AnswerAssembler(maximumReorderedBytes)
    private val held = ArrayList<Payload>()
    private var head: AnswerHead? = null

    /** Whether the caller has heard anything. */
    var headPassedOn = false
        private set

    val received: Long get() = assembler.received

    val isComplete: Boolean get() = head != null && assembler.isComplete

    /** Whether anything of the answer has come. */
    val hasBegun: Boolean get() = head != null || assembler.received > 0 || assembler.hasGap

    /** Whether something is missing that should have come before what came. */
    val hasGap: Boolean get() = assembler.hasGap || (head == null && hasBegun)

    fun add(message: AnswerHead): List<AttemptAction> {
        head = head ?: message
        return passOn()
    }

    fun add(message: AnswerFragment): List<AttemptAction> {
        held += assembler.add(message)
        return passOn()
    }

    fun add(message: AnswerEnd): List<AttemptAction> {
        assembler.length = message.length
        return passOn()
    }

    private fun passOn(): List<AttemptAction> {
        val known = head
        if (known == null || (held.isEmpty() && !assembler.isComplete)) {
            return emptyList()
        }
        val actions = ArrayList<AttemptAction>()
        if (!headPassedOn) {
            actions += AttemptAction.DeliverHead(known.status, known.headers)
            headPassedOn = true
        }
        actions += held.map(AttemptAction::DeliverBytes)
        held.clear()
        return actions
    }
}
