package tanagerlane.attempts

import tanagerlane.message.WireMessage

/** Messages to send on each of the connections [sessions], in order. */
public data class Delivery(
    val sessions: Set<SessionId>,
    val messages: List<WireMessage>,
)
