package tanagerlane.pace

import tanagerlane.model.HostName

/**
 * A process that sends requests to targets.
 *
 * @property isRunner whether it runs batch items only, which may wait
 */
public data class PacedProcess(
    val host: HostName,
    val isRunner: Boolean,
)
