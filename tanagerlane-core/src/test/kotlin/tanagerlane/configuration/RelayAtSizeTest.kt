@file:OptIn(ExperimentalSerializationApi::class)

package tanagerlane.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import tanagerlane.model.Revision
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

class RelayAtSizeTest :
    FunSpec({
        for (case in FLEETS) {
            test("${case.hosts} processes have few neighbours and short paths, even without a failure domain") {
                val members = Configurations.members(domains = 4, hosts = case.hosts)
                val neighbours = members.associate { it.host to RelayTopology(members).neighboursOf(it.host) }
                val remaining = members.filter { it.failureDomain.text != "site-1" }.map { it.host }.toSet()
                neighbours.values.maxOf { it.size } shouldBeLessThanOrEqual case.neighbours
                longestPath(neighbours, neighbours.keys) shouldBeLessThanOrEqual case.longestPath
                longestPath(neighbours, remaining) shouldBeLessThanOrEqual case.longestPathWithoutDomain
            }
        }

        test("a change reaches 930 processes within a second") {
            val fleet = largeFleet()
            fleet.write(Configurations.of(revision = 2, domains = 4, workspaces = 9))
            fleet.run(2.seconds)
            fleet.nodes.values.count {
                it.state.current
                    ?.configuration
                    ?.revision != Revision(2)
            } shouldBe 0
        }

        test("930 processes send less than 1.5 KB/s each and two in each failure domain call the store") {
            for (down in listOf(false, true)) {
                val fleet = largeFleet()
                fleet.storeDown = down
                fleet.run(10.seconds)
                fleet.traffic.clear()
                fleet.storeCalls = 0
                fleet.run(MEASURED_SECONDS.seconds)
                val processBytes = fleet.traffic.sumOf { sizeOf(it) } / fleet.members.size / MEASURED_SECONDS
                println("store down $down: $processBytes B/s a process, ${fleet.storeCalls / MEASURED_SECONDS} calls/s")
                processBytes shouldBeLessThan 1_500
                fleet.storeCalls / MEASURED_SECONDS shouldBe 8
                fleet.nodes.values.count { !it.state.freshness(fleet.now).canServe } shouldBe 0
            }
        }
    })

private const val MEASURED_SECONDS = 5

private class Fleet(
    val hosts: Int,
    val neighbours: Int,
    val longestPath: Int,
    val longestPathWithoutDomain: Int,
)

private val FLEETS =
    listOf(
        Fleet(hosts = 14, neighbours = 13, longestPath = 1, longestPathWithoutDomain = 1),
        Fleet(hosts = 60, neighbours = 8, longestPath = 4, longestPathWithoutDomain = 5),
        Fleet(hosts = 930, neighbours = 8, longestPath = 9, longestPathWithoutDomain = 10),
    )

private fun largeFleet(): FakeFleet {
    val fleet = FakeFleet(Configurations.members(domains = 4, hosts = 930), Random(7))
    fleet.write(Configurations.of(revision = 1, domains = 4))
    fleet.run(10.seconds)
    return fleet
}

private fun sizeOf(message: WireMessage): Long = Cbor.encodeToByteArray(WireMessage.serializer(), message).size.toLong()

/** Returns the longest of the shortest paths within [hosts], in steps; [Int.MAX_VALUE] if they are not connected. */
private fun longestPath(
    neighbours: Map<HostName, Set<HostName>>,
    hosts: Set<HostName>,
): Int = hosts.maxOf { stepsToAll(it, neighbours, hosts) }

private fun stepsToAll(
    from: HostName,
    neighbours: Map<HostName, Set<HostName>>,
    hosts: Set<HostName>,
): Int {
    val reached = mutableSetOf(from)
    var frontier = setOf(from)
    var steps = 0
    while (frontier.isNotEmpty() && reached.size < hosts.size) {
        frontier =
            frontier.flatMap { neighbours.getValue(it) }.filterTo(mutableSetOf()) { it in hosts && reached.add(it) }
        steps++
    }
    return if (reached.size == hosts.size) steps else Int.MAX_VALUE
}
