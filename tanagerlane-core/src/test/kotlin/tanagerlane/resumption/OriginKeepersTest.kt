package tanagerlane.resumption

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import tanagerlane.membership.Member
import tanagerlane.message.HostRole
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.RequestId

class OriginKeepersTest :
    FunSpec({
        data class KeeperCase(
            val entries: Int,
            val runners: Int,
            val domains: Int,
            val told: Int,
            val asked: Int,
        )
        listOf(
            KeeperCase(entries = 5, runners = 4, domains = 3, told = 4, asked = 8),
            KeeperCase(entries = 100, runners = 4, domains = 3, told = 4, asked = 8),
            KeeperCase(entries = 33, runners = 4, domains = 1, told = 4, asked = 8),
            KeeperCase(entries = 33, runners = 0, domains = 3, told = 2, asked = 4),
            KeeperCase(entries = 2, runners = 1, domains = 3, told = 2, asked = 2),
            KeeperCase(entries = 1, runners = 0, domains = 1, told = 0, asked = 0),
        ).forEach { case ->
            test("keepers of each role are selected and spread over failure domains: $case") {
                val members = members(case.entries, case.runners, case.domains)
                val own = members.last().host
                for (attempt in ATTEMPTS) {
                    val told = OriginKeepers.told(attempt, members, own)
                    val asked = OriginKeepers.asked(attempt, members, own)
                    listOf(told.toSet().size, asked.toSet().size) shouldBe listOf(case.told, case.asked)
                    asked shouldContainAll told
                    asked shouldNotContain own
                    for (role in listOf(HostRole.ENTRY, HostRole.BATCH)) {
                        val candidates = members.filter { it.role == role && it.host != own }
                        val ofRole = candidates.filter { it.host in told }
                        val domains = candidates.distinctBy { it.failureDomain }.size
                        ofRole.distinctBy { it.failureDomain }.size shouldBe minOf(domains, 2, candidates.size)
                    }
                }
            }
        }

        test("sidecars keep nothing") {
            val sidecars = List(9) { member(HostRole.SIDECAR, it, 3) }
            OriginKeepers.asked(ATTEMPTS.first(), sidecars, OWN).size shouldBe 0
        }

        test("processes select the same keepers, whatever the order of the members, and ask all that others told") {
            val members = members(entries = 33, runners = 4, domains = 3)
            for (attempt in ATTEMPTS) {
                val told = OriginKeepers.told(attempt, members, OWN)
                OriginKeepers.told(attempt, members.shuffled(), HostName("elsewhere")) shouldBe told
                for (asking in members.map { it.host }) {
                    OriginKeepers.asked(attempt, members, asking) shouldContainAll told - asking
                }
            }
        }

        test("a sender among the keepers is replaced by one other") {
            val members = members(entries = 33, runners = 4, domains = 3)
            for (attempt in ATTEMPTS) {
                val told = OriginKeepers.told(attempt, members, OWN)
                val own = told.last()
                (OriginKeepers.told(attempt, members, own) - told.toSet()).size shouldBe 1
            }
        }

        test("keepers stay the same when a member leaves that is none of them, and are asked after any has left") {
            val members = members(entries = 33, runners = 4, domains = 3)
            var changed = 0
            for (attempt in ATTEMPTS) {
                val told = OriginKeepers.told(attempt, members, OWN)
                for (left in members) {
                    val rest = members - left
                    val toldThen = OriginKeepers.told(attempt, rest, OWN)
                    if (toldThen != told) {
                        changed++
                        left.host shouldBeIn told
                    }
                    OriginKeepers.asked(attempt, rest, OWN) shouldContainAll told - left.host
                }
            }
            changed shouldBeLessThan ATTEMPTS.size * members.size / 5
        }
    }) {
    private companion object {
        val OWN = HostName("own")
        val ATTEMPTS = List(50) { RequestId("attempt-$it") }

        fun members(
            entries: Int,
            runners: Int,
            domains: Int,
        ) = List(runners) { member(HostRole.BATCH, it, domains) } +
            List(entries) { member(HostRole.ENTRY, it, domains) }

        fun member(
            role: HostRole,
            index: Int,
            domains: Int,
        ) = Member(
            HostName("$role-$index"),
            role,
            Incarnation(1),
            FailureDomain("d${index % domains}"),
            "10.0.0.1:7660",
        )
    }
}
