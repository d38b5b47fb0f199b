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
 * @property targetQueueShare requests that entries send to a target beyond its places, as a fraction of these; what they
 *   send by reports that are out of date queues there too
 * @property promptShare part of the objective within which a refusal counts as prompt, less a reserve for its delivery
 * @property hopelessObjectives forecast wait, in objectives, with which a request is refused on arrival; with a shorter one
 *   that decision waits for [promptShare], as a place may become free sooner than forecast
 * @property holdShare part of its whole time for which a request that is late waits at most; a refusal after half of the
 *   time leaves too little for a retry, and replays with 0.2 to 0.45 differ by less than 0.02 of the value
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
    val hopelessObjectives: Double = 3.0,
    val holdShare: Double = 0.3,
    val retryShare: Double = 0.32,
    val reportAge: Duration = 150.milliseconds,
    val reportLifetime: Duration = 1.seconds,
    val initialDuration: Duration = 500.milliseconds,
    val floorShare: Double = 0.25,
)
