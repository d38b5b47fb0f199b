package tanagerlane.configuration

import tanagerlane.message.WireMessage
import tanagerlane.model.HostName

/** A message that is to be sent to a neighbour; it may be lost. */
public data class OutgoingMessage(
    val to: HostName,
    val message: WireMessage,
)
