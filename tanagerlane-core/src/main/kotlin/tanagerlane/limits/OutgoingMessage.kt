package tanagerlane.limits

import tanagerlane.message.WireMessage
import tanagerlane.model.HostName

/** A message to another entry; it may be lost, delayed or doubled without harm. */
public data class OutgoingMessage(
    val to: HostName,
    val message: WireMessage,
)
