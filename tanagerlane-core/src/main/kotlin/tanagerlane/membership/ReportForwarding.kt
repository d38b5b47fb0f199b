package tanagerlane.membership

import tanagerlane.model.HostName
import tanagerlane.routing.RendezvousHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Decides which reports a process forwards to others that do not receive them from their senders.
 *
 * Processes that can't reach each other, but reach others, would not know each other's load. Each reports from whom it
 * receives nothing; for each such link, one process that can reach both ends forwards the reports.
 */
public class ReportForwarding(
    private val own: HostName,
) {
    private val missingSenders = HashMap<HostName, Set<HostName>>()
    private val forwardedAt = HashMap<Link, Instant>()

    /** Records that [host] receives nothing from the processes in [missing]. */
    public fun updateMissingSenders(
        host: HostName,
        missing: Set<HostName>,
    ) {
        if (missing.isEmpty()) missingSenders.remove(host) else missingSenders[host] = missing
    }

    /**
     * Returns the processes to which to forward a report that has just been received from [sender].
     *
     * @param reachable other processes from which this one receives reports
     */
    public fun receivers(
        sender: HostName,
        reachable: Set<HostName>,
        now: Instant,
    ): List<HostName> {
        missingSenders.keys.retainAll(reachable)
        if (missingSenders.isEmpty()) {
            return emptyList()
        }
        forwardedAt.values.removeIf { now - it > PAUSE }
        return reachable
            .filter { it != sender && sender in missingSenders[it].orEmpty() }
            .map { Link(sender, it) }
            .filter { it !in forwardedAt && forwarderOf(it, reachable) == own }
            .onEach { forwardedAt[it] = now }
            .map { it.receiver }
    }

    private fun forwarderOf(
        link: Link,
        reachable: Set<HostName>,
    ): HostName? {
        val candidates =
            (reachable + own).filter { host ->
                host != link.sender &&
                    host != link.receiver &&
                    host !in missingSenders[link.receiver].orEmpty() &&
                    link.sender !in missingSenders[host].orEmpty()
            }
        return RendezvousHash.best("${link.sender.text}>${link.receiver.text}", candidates) { it.text }
    }

    private data class Link(
        val sender: HostName,
        val receiver: HostName,
    )

    private companion object {
        /** Minimum time between two reports that are forwarded for the same link. */
        val PAUSE: Duration = 45.milliseconds
    }
}
