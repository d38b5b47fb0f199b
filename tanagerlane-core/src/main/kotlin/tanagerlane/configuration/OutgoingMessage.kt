package tanagerlane.configuration

import tanagerlane.message.WireMessage
import tanagerlane.model.HostName

/** A message to send to a neighbour; delivery is not guaranteed. */
public data class OutgoingMessage(
    val to: HostName,
    val message: WireMessage,
)
