package tanagerlane.streams

import tanagerlane.model.Payload

/**
 * One server-sent event.
 *
 * @property id number of the event, or null where it has none
 * @property data data lines, parted by line feeds
 * @property bytes the event as it came, with the blank line that ends it
 */
public data class StreamEvent(
    val id: Long?,
    val data: String,
    val bytes: Payload,
)
