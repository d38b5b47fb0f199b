package tanagerlane.configuration

import tanagerlane.model.HostName
import tanagerlane.routing.StableHash
import kotlin.math.pow
import kotlin.math.roundToInt

/**
 * Topology of the relay of configurations, identical on every process that knows the same members.
 *
 * Members are arranged on a ring in the order of a hash. Each is connected to the members at [DISTANCES] distances in
 * both directions; the distances grow in equal ratios from one position to a large part of the ring. This bounds the
 * number of neighbours and keeps the longest path short. In a small fleet, every member is connected to every other.
 */
public class RelayTopology(
    members: Collection<RelayMember>,
) {
    private val ring = members.map { it.host }.distinct().sortedWith(compareBy({ hashOf(it) }, { it.text }))
    private val watchers = members.groupBy { it.failureDomain }.values.flatMapTo(mutableSetOf()) { watchersAmong(it) }

    /** Returns the hosts with which [host] exchanges announcements. */
    public fun neighboursOf(host: HostName): Set<HostName> {
        val position = ring.indexOf(host)
        return when {
            position < 0 -> emptySet()
            ring.size <= MAXIMUM_FULLY_CONNECTED_MEMBERS -> ring.toSet() - host
            else -> distances().flatMapTo(mutableSetOf()) { listOf(at(position + it), at(position - it)) }
        }
    }

    /** Whether [host] is one of the few members of its failure domain that watch the store. */
    public fun isWatcher(host: HostName): Boolean = host in watchers

    private fun distances(): Set<Int> {
        val half = ring.size / 2.0
        return (0 until DISTANCES).mapTo(mutableSetOf()) { half.pow(it.toDouble() / DISTANCES).roundToInt() }
    }

    private fun at(position: Int): HostName = ring[Math.floorMod(position, ring.size)]

    private companion object {
        const val WATCHERS_PER_FAILURE_DOMAIN = 2
        const val MAXIMUM_FULLY_CONNECTED_MEMBERS = 16
        const val DISTANCES = 4

        fun hashOf(host: HostName): Long = StableHash.of(host.text)

        fun watchersAmong(members: List<RelayMember>): List<HostName> =
            members
                .map { it.host }
                .sortedWith(compareBy({ StableHash.mix(hashOf(it)) }, { it.text }))
                .take(WATCHERS_PER_FAILURE_DOMAIN)
    }
}
