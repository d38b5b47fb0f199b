package tanagerlane.attempts

import tanagerlane.message.WireMessage
import tanagerlane.model.Incarnation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** One connection that delivers in order in each direction, except for message faults injected by [faultOf]. */
internal class FakeConnection(
    val session: SessionId,
    val sidecar: FakeSidecar,
    private val clock: VirtualClock,
    private val faultOf: (WireMessage) -> MessageFault?,
    private val deliver: (WireMessage) -> Unit,
    private val onLost: (FakeConnection) -> Unit,
) {
    val incarnation: Incarnation = sidecar.incarnation
    val openedAt: Instant = clock.now
    var isUsable = true
        private set
    private var isSilent = false
    private var isReset = false
    private val extraDelay = mutableMapOf(true to Duration.ZERO, false to Duration.ZERO)

    fun toSidecar(message: WireMessage) = transmit(message, toEntry = false) { sidecar.receive(this, message) }

    fun toEntry(messages: List<WireMessage>) = messages.forEach { transmit(it, toEntry = true) { deliver(it) } }

    /** Resets the connection because its sidecar was killed; the entry is notified. */
    fun reset() {
        isReset = true
        clock.after(LATENCY) { reportLostOnce() }
    }

    /** Reports the connection as lost after the silence timeout if it is silent or its sidecar is frozen by then. */
    fun detectSilence() {
        clock.after(SILENCE_TIMEOUT) {
            val frozen = sidecar.frozenUntil
            if (isSilent || (frozen != null && clock.now < frozen)) {
                reportLostOnce()
            }
        }
    }

    private fun reportLostOnce() {
        if (isUsable) {
            isUsable = false
            onLost(this)
        }
    }

    private fun transmit(
        message: WireMessage,
        toEntry: Boolean,
        onArrival: () -> Unit,
    ) {
        val fault = faultOf(message)
        if (fault == MessageFault.LOST) {
            isSilent = true
            detectSilence()
        }
        if (isSilent || isReset) {
            return
        }
        if (fault == MessageFault.DELAYED) {
            extraDelay[toEntry] = EXTRA_DELAY
        }
        val wait = LATENCY + extraDelay.getValue(toEntry)
        clock.after(if (fault == MessageFault.REORDERED) wait + REORDER_DELAY else wait, onArrival)
        if (fault == MessageFault.DUPLICATED) {
            clock.after(wait + EXTRA_DELAY, onArrival)
        }
    }

    private companion object {
        val LATENCY = 1.milliseconds
        val REORDER_DELAY = 25.milliseconds
        val EXTRA_DELAY = 3.seconds
        val SILENCE_TIMEOUT = 2.seconds
    }
}
