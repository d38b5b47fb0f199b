package tanagerlane.limits

import tanagerlane.message.WireMessage
import tanagerlane.model.HostName

/** A message to another entry. Loss, delay and duplication are tolerated. */
public data class OutgoingMessage(
    val to: HostName,
    val message: WireMessage,
)
