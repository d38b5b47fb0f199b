package tanagerlane.membership

import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Decides until when a process that was told to stop takes requests, and when it ends.
 *
 * Callers keep connections and go on sending on them, so there need not be a moment at which no request is open. New
 * requests are therefore taken up to a fixed time, early enough for the last of them to be answered.
 *
 * @property requestedAt when the process was told to stop
 * @property noticePeriod time in which whoever sends callers here sees that this process takes no new ones
 * @property gracePeriod time between the signal and the end of the process
 * @property reserve part of [gracePeriod] for what follows the last answer
 */
public data class StopPlan(
    val requestedAt: Instant,
    val noticePeriod: Duration,
    val gracePeriod: Duration,
    val reserve: Duration,
) {
    /** When requests that are still open have to be ended. */
    public val endsAt: Instant get() = requestedAt + gracePeriod - reserve

    /** When requests are no longer taken; at least half of the time is left to those that were taken before. */
    public val acceptsRequestsUntil: Instant get() = requestedAt + minOf(noticePeriod, (gracePeriod - reserve) / 2)

    /** Whether a request that comes at [now] is served. */
    public fun acceptsRequests(now: Instant): Boolean = now < acceptsRequestsUntil

    /** Whether the process ends at [now], given whether it has [hasOpenWork]. */
    public fun isOver(
        now: Instant,
        hasOpenWork: Boolean,
    ): Boolean = now >= endsAt || (!hasOpenWork && !acceptsRequests(now))
}
