package tanagerlane.configuration

import tanagerlane.model.HostName
import tanagerlane.routing.StableHash
import kotlin.math.pow
import kotlin.math.roundToInt

/**
 * Who relays configurations to whom, the same on every process that knows the same members.
 *
 * Members stand on a ring in the order of a hash. Each is joined with those at [DISTANCES] distances in both directions,
 * from one place to a good part of the ring in equal ratios. So the number of neighbours is bounded while the longest
 * path stays short. A small fleet is joined completely.
 */
public class RelayTopology(
    members: Collection<RelayMember>,
) {
    private val ring = members.map { it.host }.distinct().sortedWith(compareBy({ hashOf(it) }, { it.text }))
    private val watchers = members.groupBy { it.failureDomain }.values.flatMapTo(mutableSetOf()) { watchersAmong(it) }

    /** Returns the hosts that [host] exchanges announcements with. */
    public fun neighboursOf(host: HostName): Set<HostName> {
        val place = ring.indexOf(host)
        return when {
            place < 0 -> emptySet()
            ring.size <= COMPLETE_SIZE -> ring.toSet() - host
            else -> distances().flatMapTo(mutableSetOf()) { listOf(at(place + it), at(place - it)) }
        }
    }

    /** Whether [host] is one of the few of its failure domain that watch the store. */
    public fun isWatcher(host: HostName): Boolean = host in watchers

    private fun distances(): Set<Int> {
        val half = ring.size / 2.0
        return (0 until DISTANCES).mapTo(mutableSetOf()) { half.pow(it.toDouble() / DISTANCES).roundToInt() }
    }

    private fun at(place: Int): HostName = ring[Math.floorMod(place, ring.size)]

    private companion object {
        const val WATCHERS_PER_FAILURE_DOMAIN = 2
        const val COMPLETE_SIZE = 16
        const val DISTANCES = 4

        fun hashOf(host: HostName): Long = StableHash.of(host.text)

        fun watchersAmong(members: List<RelayMember>): List<HostName> =
            members
                .map { it.host }
                .sortedWith(compareBy({ StableHash.mix(hashOf(it)) }, { it.text }))
                .take(WATCHERS_PER_FAILURE_DOMAIN)
    }
}
