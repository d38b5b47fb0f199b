package tanagerlane.direct

import tanagerlane.model.HostName

/**
 * An operator's order to empty a host before it is taken away.
 *
 * @property isDone whether the host has reported that it is empty
 */
public data class HostRemoval(
    val host: HostName,
    val isDone: Boolean,
)
