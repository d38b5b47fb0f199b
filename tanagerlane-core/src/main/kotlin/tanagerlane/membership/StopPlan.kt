package tanagerlane.membership

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Decides until when a stopping process accepts requests, and when it exits.
 *
 * Callers keep connections open and continue to send requests on them, so there may never be a moment without open
 * requests. New requests are therefore accepted until a fixed time, early enough for the last of them to be answered.
 *
 * @property requestedAt time at which the process received the signal to stop
 * @property noticePeriod time within which load balancers notice that this process accepts no new callers
 * @property gracePeriod time between the signal and the exit of the process
 * @property reserve part of [gracePeriod] that is kept for the work after the last answer
 */
public data class StopPlan(
    val requestedAt: Instant,
    val noticePeriod: Duration,
    val gracePeriod: Duration,
    val reserve: Duration,
) {
    /** Time at which requests that are still open are ended. */
    public val endsAt: Instant get() = requestedAt + gracePeriod - reserve

    /** Time from which requests are refused; at least half of the time remains for requests accepted before. */
    public val acceptsRequestsUntil: Instant get() = requestedAt + minOf(noticePeriod, (gracePeriod - reserve) / 2)

    /** Whether a request that arrives at [now] is accepted. */
    public fun acceptsRequests(now: Instant): Boolean = now < acceptsRequestsUntil

    /** Whether the process exits at [now]; [hasOpenWork] tells whether any request or other work is still open. */
    public fun isOver(
        now: Instant,
        hasOpenWork: Boolean,
    ): Boolean = now >= endsAt || (!hasOpenWork && !acceptsRequests(now))
}
