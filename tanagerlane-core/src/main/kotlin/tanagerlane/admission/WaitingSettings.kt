package tanagerlane.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [WaitingRequests].
 *
 * @property maximumRequests number of requests that may wait at a time
 * @property maximumBytes bytes of request bodies that may wait at a time
 * @property startTime time that a target takes to begin its answer once it runs a request
 * @property targetQueueShare requests that may queue at a target, as a fraction of its places; see
 *   [tanagerlane.places.LoadBalancerSettings.queueShare]
 * @property promptShare part of the objective within which a refusal counts as prompt, less a reserve for its delivery
 * @property holdShare part of its whole time for which a request that is late waits at most; a refusal after half of the
 *   time leaves too little for a retry
 * @property retryShare part of the remaining time for which a caller waits at most before it retries
 * @property reportAge time until what one process does shows in the reports that the others have
 * @property reportLifetime time for which the last report of a process counts when no further one is received
 * @property initialDuration duration assumed for requests of a route of which none has ended yet
 * @property floorShare how often each workspace and priority is served at least, relative to all requests
 */
public data class WaitingSettings(
    val maximumRequests: Int = 256,
    val maximumBytes: Long = 16L shl 20,
    val startTime: Duration = 50.milliseconds,
    val targetQueueShare: Double = 0.0,
    val promptShare: Double = 0.2,
    val holdShare: Double = 0.45,
    val retryShare: Double = 0.32,
    val reportAge: Duration = 150.milliseconds,
    val reportLifetime: Duration = 1.seconds,
    val initialDuration: Duration = 500.milliseconds,
    val floorShare: Double = 0.25,
)
