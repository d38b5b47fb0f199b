package tanagerlane.direct

import tanagerlane.model.HostName

/**
 * An operator's order to drain a host before it is removed.
 *
 * @property host host to drain
 * @property isDone whether the host has reported that it is drained
 */
public data class HostRemoval(
    val host: HostName,
    val isDone: Boolean,
)
