package tanagerlane.attempts

import tanagerlane.message.WireMessage

/** Messages to send on the connection [session], in order. */
public data class Delivery(
    val session: SessionId,
    val messages: List<WireMessage>,
)
