package tanagerlane.direct

import tanagerlane.limits.EntryFleet
import tanagerlane.serving.ServingConfiguration

/**
 * What the service of callers needs to know of its process.
 *
 * @property configuration configuration in force, or null before the first
 * @property isCurrent whether the configuration is known to be the newest
 * @property entries how much of the fleet of entries is heard
 * @property isReady whether new callers should be sent here
 * @property isStopping whether the process is about to end
 * @property acceptsRequests whether a request that comes now is served
 */
internal data class ProcessState(
    val configuration: () -> ServingConfiguration?,
    val isCurrent: () -> Boolean,
    val entries: () -> EntryFleet,
    val isReady: () -> Boolean,
    val isStopping: () -> Boolean,
    val acceptsRequests: () -> Boolean,
)
