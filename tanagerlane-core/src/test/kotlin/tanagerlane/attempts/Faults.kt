package tanagerlane.attempts

import kotlin.time.Duration

/** What befalls one message. */
internal enum class MessageFault {
    /** The connection carries nothing any more from this message on, and says so to nobody. */
    LOST,

    /** This message and those after it come late. */
    DELAYED,

    /** The message comes once more, later. */
    DUPLICATED,

    /** Later messages overtake this one. */
    CROSSED,
}

/** What befalls the sidecar of the first target. */
internal enum class SidecarFault { KILLED, FROZEN, REPLACED }

/** The [occurrence]th message of [type] meets [fault]. */
internal data class FaultyMessage(
    val type: String,
    val occurrence: Int,
    val fault: MessageFault,
)

/** [fault] befalls a sidecar at [at], for [lasting] where it ends. */
internal data class FaultySidecar(
    val fault: SidecarFault,
    val at: Duration,
    val lasting: Duration,
    val target: Int = 0,
)

/** Everything that goes wrong in one run, and the [maximumAttempts] that a request has. */
internal data class Faults(
    val messages: List<FaultyMessage> = emptyList(),
    val sidecars: List<FaultySidecar> = emptyList(),
    val entryKilledAt: Duration? = null,
    val maximumAttempts: Int = 3,
)
