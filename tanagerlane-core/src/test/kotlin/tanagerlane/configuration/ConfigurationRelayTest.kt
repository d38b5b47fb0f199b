package tanagerlane.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import tanagerlane.model.HostName
import tanagerlane.model.Revision
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ConfigurationRelayTest :
    FunSpec({
        for (seed in 1L..SEEDS) {
            test("revisions never decrease and no old one is served 5 s after a higher one was accepted, seed $seed") {
                val scenario = FaultScenario(seed)
                scenario.run()
                scenario.violations.shouldBeEmpty()
            }
        }

        test("all processes serve during a store outage, also after a restart") {
            for (silent in listOf(false, true)) {
                val fleet = fleet(hosts = 14)
                fleet.storeDown = !silent
                fleet.storeSilent = silent
                val refusing = mutableListOf<String>()
                repeat(300) { step ->
                    fleet.run(100.milliseconds)
                    refusing +=
                        fleet.nodes.values
                            .filterNot { it.serves(fleet) }
                            .map { "${it.member.host} at step $step" }
                }
                refusing.shouldBeEmpty()
                fleet.nodes.values
                    .first()
                    .restart()
                fleet.run(1.seconds)
                fleet.nodes.values
                    .map { it.state.freshness(fleet.now) }
                    .toSet() shouldBe
                    setOf(Freshness.StoreOutage)
                fleet.nodes.values
                    .map {
                        it.state.current
                            ?.configuration
                            ?.revision
                    }.toSet() shouldBe setOf(Revision(1))
            }
        }

        test("a process isolated from store and peers stops serving within 5 s, also during a store outage") {
            for (down in listOf(false, true)) {
                val fleet = fleet(hosts = 14)
                val isolated = fleet.nodes.values.first()
                fleet.storeDown = down
                fleet.withoutStore += isolated.member.host
                fleet.run(if (down) 20.seconds else Duration.ZERO)
                isolated.serves(fleet) shouldBe true
                fleet.withoutPeers += isolated.member.host
                fleet.run(5.seconds + 1.milliseconds)
                fleet.nodes.values.filterNot { it.serves(fleet) } shouldBe listOf(isolated)
                isolated.state.freshness(fleet.now) shouldBe Freshness.Isolated
            }
        }

        test("a process that can reach only its peers serves the configuration that they relay") {
            val fleet = fleet(hosts = 14)
            val node = fleet.nodes.values.first()
            fleet.withoutStore += node.member.host
            fleet.run(20.seconds)
            fleet.write(Configurations.of(revision = 2))
            fleet.run(2.seconds)
            node.state.current
                ?.configuration
                ?.revision shouldBe Revision(2)
            node.serves(fleet) shouldBe true
        }
    })

private const val SEEDS = 60L

private fun fleet(hosts: Int): FakeFleet {
    val fleet = FakeFleet(Configurations.members(domains = 3, hosts = hosts), Random(1))
    fleet.write(Configurations.of(revision = 1))
    fleet.run(5.seconds)
    return fleet
}

private fun FakeFleet.Node.serves(fleet: FakeFleet): Boolean = state.freshness(fleet.now).canServe

/** Injects random faults, then repairs them; collects broken invariants in [violations]. */
private class FaultScenario(
    seed: Long,
) {
    val violations = mutableListOf<String>()
    private val random = Random(seed)
    private val members = Configurations.members(domains = random.nextInt(3, 5), hosts = random.nextInt(6, 30))
    private val fleet = FakeFleet(members, random)
    private val held = mutableMapOf<HostName, HeldRevision>()
    private var revision = 0L

    private class HeldRevision(
        val restarts: Int,
        val revision: Long,
    )

    fun run() {
        write()
        repeat(ROUNDS) {
            repeat(random.nextInt(1, 4)) { injectFault() }
            repeat(random.nextInt(5, 80)) { observe() }
        }
        repair()
        repeat(60) { observe() }
        fleet.nodes.values
            .filter { it.revision() != revision || !it.serves(fleet) }
            .forEach { violations += "${it.member.host} has revision ${it.revision()} of $revision after the repair" }
    }

    private fun injectFault() {
        val host = members.random(random).host
        when (random.nextInt(11)) {
            0 -> {
                fleet.storeDown = !fleet.storeDown
            }

            1 -> {
                fleet.storeSilent = !fleet.storeSilent
            }

            2 -> {
                fleet.storeLatency = listOf(2.milliseconds, 1.seconds, 3.seconds, 20.seconds).random(random)
            }

            3 -> {
                fleet.withoutStore.toggle(host)
            }

            4 -> {
                fleet.withoutPeers.toggle(host)
            }

            5 -> {
                fleet.delayed.toggle(host)
            }

            6 -> {
                fleet.isolatedDomain =
                    members
                        .random(random)
                        .failureDomain.text
                        .takeIf { fleet.isolatedDomain == null }
            }

            7 -> {
                fleet.nodes.getValue(host).restart()
            }

            else -> {
                write()
            }
        }
    }

    private fun MutableSet<HostName>.toggle(host: HostName) {
        if (!add(host)) remove(host)
    }

    private fun write() {
        if (!fleet.storeDown && !fleet.storeSilent) {
            revision++
            fleet.write(Configurations.of(revision, workspaces = random.nextInt(1, 6)))
        }
    }

    private fun repair() {
        fleet.storeDown = false
        fleet.storeSilent = false
        fleet.storeLatency = 2.milliseconds
        fleet.withoutStore.clear()
        fleet.withoutPeers.clear()
        fleet.delayed.clear()
        fleet.isolatedDomain = null
    }

    private fun observe() {
        fleet.run(100.milliseconds)
        val due = fleet.acknowledged.filter { fleet.now - it.at > 5.seconds }.maxOfOrNull { it.revision.number } ?: 0
        for (node in fleet.nodes.values) {
            val own = node.revision()
            val earlier = held[node.member.host]?.takeIf { it.restarts == node.restarts }?.revision ?: 0
            if (own < earlier) violations += "${node.member.host} went from revision $earlier back to $own"
            held[node.member.host] = HeldRevision(node.restarts, own)
            if (own < due && node.serves(fleet)) {
                violations += "${node.member.host} serves revision $own at ${fleet.now} although $due was accepted"
            }
        }
    }

    private fun FakeFleet.Node.revision(): Long =
        state.current
            ?.configuration
            ?.revision
            ?.number ?: 0

    private companion object {
        const val ROUNDS = 12
    }
}
