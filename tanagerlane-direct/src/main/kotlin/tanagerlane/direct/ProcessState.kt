package tanagerlane.direct

import tanagerlane.limits.EntryFleet
import tanagerlane.serving.ServingConfiguration
import kotlin.time.Duration

/**
 * State of this process that [CallerService] depends on.
 *
 * @property configuration configuration in force, or null before the first one is received
 * @property isCurrent whether the configuration is known to be the latest
 * @property entries size of the fleet of entries and how many of them report to this process
 * @property isReady whether new callers should be routed to this process
 * @property isStopping whether this process is shutting down
 * @property acceptsRequests whether a request that arrives now is served
 * @property processorDelay how long work waits for the processor of this process
 */
internal data class ProcessState(
    val configuration: () -> ServingConfiguration?,
    val isCurrent: () -> Boolean,
    val entries: () -> EntryFleet,
    val isReady: () -> Boolean,
    val isStopping: () -> Boolean,
    val acceptsRequests: () -> Boolean,
    val processorDelay: () -> Duration,
)
