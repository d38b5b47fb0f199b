package tanagerlane.store

import tanagerlane.model.HostName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Decides whether a process calls the object API directly or through another process, its relay.
 *
 * The object API may stop serving one process while it serves others; the process notices only by a timeout. It then
 * uses a relay that is served, without a direct attempt first, and retries the direct path from time to time.
 */
public data class StorePaths(
    private val directFailedAt: Instant? = null,
    private val directAttemptedAt: Instant? = null,
    private val lastRelay: HostName? = null,
    private val relayFailures: Map<HostName, Instant> = emptyMap(),
) {
    /** Whether a call should go through a relay without a direct attempt. */
    public fun skipsDirectPath(
        reachable: Set<HostName>,
        now: Instant,
    ): Boolean {
        val isDirectPathFailing = directFailedAt != null && now - directFailedAt <= DIRECT_FAILURE_MEMORY
        return isDirectPathFailing && lastRelay != null && lastRelay in reachable && !hasRecentlyFailed(lastRelay, now)
    }

    /** Whether the direct path should be retried in parallel with a call that goes through a relay. */
    public fun isDirectRetryDue(now: Instant): Boolean =
        directAttemptedAt == null || now - directAttemptedAt >= DIRECT_RETRY_INTERVAL

    /** Returns the relays to try in order: the last one that succeeded first, without those that failed recently. */
    public fun relayCandidates(
        reachable: Collection<HostName>,
        now: Instant,
    ): List<HostName> {
        val candidates = reachable.filter { !hasRecentlyFailed(it, now) }
        return candidates.sortedBy { it != lastRelay }.take(MAXIMUM_RELAYS)
    }

    /** Records that a direct attempt begins. */
    public fun directAttemptStarted(now: Instant): StorePaths = copy(directAttemptedAt = now)

    /** Records that the object API has served this process. */
    public fun directAttemptSucceeded(): StorePaths = copy(directFailedAt = null, directAttemptedAt = null)

    /** Records that the object API did not serve this process. */
    public fun directAttemptFailed(now: Instant): StorePaths = copy(directFailedAt = now, directAttemptedAt = now)

    /** Records that [host] has relayed a call successfully. */
    public fun relaySucceeded(host: HostName): StorePaths = copy(lastRelay = host, relayFailures = relayFailures - host)

    /** Records that [host] was not served either or did not answer. */
    public fun relayFailed(
        host: HostName,
        now: Instant,
    ): StorePaths = copy(lastRelay = lastRelay.takeIf { it != host }, relayFailures = relayFailures + (host to now))

    private fun hasRecentlyFailed(
        host: HostName,
        now: Instant,
    ): Boolean = relayFailures[host]?.let { now - it <= RELAY_FAILURE_MEMORY } ?: false

    private companion object {
        /** Time for which the direct path is skipped after a failure; each failed retry restarts it. */
        val DIRECT_FAILURE_MEMORY: Duration = 5.seconds

        /** Minimum time between two direct attempts in parallel with relayed calls. */
        val DIRECT_RETRY_INTERVAL: Duration = 1.seconds

        /** Time for which a relay that failed is not tried again. */
        val RELAY_FAILURE_MEMORY: Duration = 1500.milliseconds

        /** Number of relays that are tried for one call. */
        const val MAXIMUM_RELAYS = 2
    }
}
