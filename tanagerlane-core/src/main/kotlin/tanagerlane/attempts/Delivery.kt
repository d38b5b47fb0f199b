package tanagerlane.attempts

import tanagerlane.message.WireMessage

/** [messages] to send, in order, on each of the connections [sessions]. */
public data class Delivery(
    val sessions: Set<SessionId>,
    val messages: List<WireMessage>,
)
