package tanagerlane.attempts

import kotlin.time.Duration

/** A fault injected into one message. */
internal enum class MessageFault {
    /** The connection silently drops this message and all later ones. */
    LOST,

    /** This message and all later ones in its direction are delayed. */
    DELAYED,

    /** The message is delivered again later. */
    DUPLICATED,

    /** Later messages overtake this one. */
    REORDERED,
}

/** A fault injected into a sidecar. */
internal enum class SidecarFault { KILLED, FROZEN, REPLACED }

/** Injects [fault] into the [occurrence]th message of [type]. */
internal data class FaultyMessage(
    val type: String,
    val occurrence: Int,
    val fault: MessageFault,
)

/** Injects [fault] into the sidecar of [target] at [at], for [lasting] if the fault is temporary. */
internal data class FaultySidecar(
    val fault: SidecarFault,
    val at: Duration,
    val lasting: Duration,
    val target: Int = 0,
)

/** All faults of one simulation, and the [maximumAttempts] of each request. */
internal data class Faults(
    val messages: List<FaultyMessage> = emptyList(),
    val sidecars: List<FaultySidecar> = emptyList(),
    val entryKilledAt: Duration? = null,
    val maximumAttempts: Int = 3,
)
