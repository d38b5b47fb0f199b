package tanagerlane.attempts

import tanagerlane.message.WireMessage
import tanagerlane.model.Incarnation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** One connection: in order in each direction, except for what [faultOf] says of a message. */
internal class FakeConnection(
    val session: SessionId,
    val sidecar: FakeSidecar,
    private val clock: VirtualClock,
    private val faultOf: (WireMessage) -> MessageFault?,
    private val deliver: (WireMessage) -> Unit,
    private val lost: (FakeConnection) -> Unit,
) {
    val incarnation: Incarnation = sidecar.incarnation
    val openedAt: Instant = clock.now
    var isUsable = true
        private set
    private var isSilent = false
    private var isReset = false
    private val extraDelay = mutableMapOf(true to Duration.ZERO, false to Duration.ZERO)

    fun toSidecar(message: WireMessage) = carry(message, toEntry = false) { sidecar.receive(this, message) }

    fun toEntry(messages: List<WireMessage>) = messages.forEach { carry(it, toEntry = true) { deliver(it) } }

    /** The peer is gone and the connection says so. */
    fun reset() {
        isReset = true
        clock.after(LATENCY) { loseOnce() }
    }

    /** Nothing comes back for a time, which the entry notices. */
    fun fallSilent() {
        clock.after(SILENCE_BOUND) {
            val frozen = sidecar.frozenUntil
            if (isSilent || (frozen != null && clock.now < frozen)) {
                loseOnce()
            }
        }
    }

    private fun loseOnce() {
        if (isUsable) {
            isUsable = false
            lost(this)
        }
    }

    private fun carry(
        message: WireMessage,
        toEntry: Boolean,
        arrive: () -> Unit,
    ) {
        val fault = faultOf(message)
        if (fault == MessageFault.LOST) {
            isSilent = true
            fallSilent()
        }
        if (isSilent || isReset) {
            return
        }
        if (fault == MessageFault.DELAYED) {
            extraDelay[toEntry] = LATE
        }
        val wait = LATENCY + extraDelay.getValue(toEntry)
        clock.after(if (fault == MessageFault.CROSSED) wait + OVERTAKEN else wait, arrive)
        if (fault == MessageFault.DUPLICATED) {
            clock.after(wait + LATE, arrive)
        }
    }

    private companion object {
        val LATENCY = 1.milliseconds
        val OVERTAKEN = 25.milliseconds
        val LATE = 3.seconds
        val SILENCE_BOUND = 2.seconds
    }
}
