package tanagerlane.store

import tanagerlane.model.HostName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Decides whether a process calls the object API itself or has another process call it.
 *
 * The object API may turn one process away while it serves others, and tells so only by a timeout. A process that was
 * turned away goes straight through one that is served, and tries its own path again from time to time.
 */
public data class StorePaths(
    private val directFailedAt: Instant? = null,
    private val directAttemptedAt: Instant? = null,
    private val lastRelay: HostName? = null,
    private val relayFailures: Map<HostName, Instant> = emptyMap(),
) {
    /** Whether a call should go through another process without a try of the own path. */
    public fun skipsDirectPath(
        reachable: Set<HostName>,
        now: Instant,
    ): Boolean {
        val isDirectPathFailing = directFailedAt != null && now - directFailedAt <= DIRECT_FAILURE_MEMORY
        return isDirectPathFailing && lastRelay != null && lastRelay in reachable && !hasRecentlyFailed(lastRelay, now)
    }

    /** Whether the own path should be tried again beside a call that goes through another process. */
    public fun isDirectRetryDue(now: Instant): Boolean =
        directAttemptedAt == null || now - directAttemptedAt >= DIRECT_RETRY_INTERVAL

    /** Processes of [reachable] to ask in turn: the last one that helped first, none that lately could not. */
    public fun relayCandidates(
        reachable: Collection<HostName>,
        now: Instant,
    ): List<HostName> {
        val candidates = reachable.filter { !hasRecentlyFailed(it, now) }
        return candidates.sortedBy { it != lastRelay }.take(MAXIMUM_RELAYS)
    }

    /** Notes that a try of the own path begins. */
    public fun directAttemptStarted(now: Instant): StorePaths = copy(directAttemptedAt = now)

    /** Notes that the object API has served this process. */
    public fun directAttemptSucceeded(): StorePaths = copy(directFailedAt = null, directAttemptedAt = null)

    /** Notes that the object API has turned this process away. */
    public fun directAttemptFailed(now: Instant): StorePaths = copy(directFailedAt = now, directAttemptedAt = now)

    /** Notes that [host] was served in place of this process. */
    public fun relaySucceeded(host: HostName): StorePaths = copy(lastRelay = host, relayFailures = relayFailures - host)

    /** Notes that [host] was not served either, or did not answer. */
    public fun relayFailed(
        host: HostName,
        now: Instant,
    ): StorePaths = copy(lastRelay = lastRelay.takeIf { it != host }, relayFailures = relayFailures + (host to now))

    private fun hasRecentlyFailed(
        host: HostName,
        now: Instant,
    ): Boolean = relayFailures[host]?.let { now - it <= RELAY_FAILURE_MEMORY } ?: false

    private companion object {
        /** Time for which a process that was turned away leaves its own path alone, tries beside calls renew it. */
        val DIRECT_FAILURE_MEMORY: Duration = 5.seconds

        /** Time between two tries of the own path beside calls. */
        val DIRECT_RETRY_INTERVAL: Duration = 1.seconds

        /** Time for which a process that could not help is not asked again. */
        val RELAY_FAILURE_MEMORY: Duration = 1500.milliseconds

        /** Processes that are asked for one call. */
        const val MAXIMUM_RELAYS = 2
    }
}
