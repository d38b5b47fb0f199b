package tanagerlane.membership

import tanagerlane.model.HostName
import tanagerlane.routing.RendezvousHash
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Decides which reports a process passes on to others that do not hear their senders.
 *
 * Processes that are cut from each other, but not from all others, would not see each other's load. Each process tells
 * whom it does not hear, and for each such link one process that hears the sender and is heard by the receiver passes
 * reports on.
 */
public class ReportForwarding(
    private val own: HostName,
) {
    private val missingSenders = HashMap<HostName, Set<HostName>>()
    private val forwardedAt = HashMap<Link, Instant>()

    /** Notes that [host] does not hear the processes in [missing]. */
    public fun updateMissingSenders(
        host: HostName,
        missing: Set<HostName>,
    ) {
        missingSenders[host] = missing
    }

    /**
     * Returns the processes to which a report of [sender] that has just come is to be passed on.
     *
     * @param reachable other processes that this one hears
     */
    public fun receivers(
        sender: HostName,
        reachable: Set<HostName>,
        now: Instant,
    ): List<HostName> {
        missingSenders.keys.retainAll(reachable)
        forwardedAt.values.removeIf { now - it > MINIMUM_INTERVAL }
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
        /** Shortest time between two reports that are passed on for the same link. */
        val MINIMUM_INTERVAL: Duration = 45.milliseconds
    }
}
