package tanagerlane.streams

import tanagerlane.model.Payload

/**
 * One server-sent event.
 *
 * @property id numeric id of the event, or null if it has none
 * @property data data lines, separated by line feeds
 * @property bytes the event as received, including the blank line that ends it
 */
public data class StreamEvent(
    val id: Long?,
    val data: String,
    val bytes: Payload,
)
