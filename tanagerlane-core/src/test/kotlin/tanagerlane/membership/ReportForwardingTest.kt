package tanagerlane.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.HostName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

class ReportForwardingTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000_000)
        val hosts = listOf("a", "b", "c", "d", "e").map(::HostName)
        val (a, b, c, d, e) = hosts

        data class BrokenLink(
            val from: HostName,
            val to: HostName,
        )

        data class Case(
            val name: String,
            val brokenLinks: Set<BrokenLink>,
            val forwarded: Map<HostName, Int>,
        )

        /** Returns how often a report of a is passed on to each process. */
        fun forwarded(brokenLinks: Set<BrokenLink>): Map<HostName, Int> {
            fun receivedBy(own: HostName) =
                hosts.filter { it != own && BrokenLink(from = it, to = own) !in brokenLinks }.toSet()
            return hosts
                .filter { a in receivedBy(it) }
                .flatMap { own ->
                    val forwarding = ReportForwarding(own)
                    receivedBy(own).forEach { forwarding.updateMissingSenders(it, hosts.toSet() - it - receivedBy(it)) }
                    forwarding.receivers(a, receivedBy(own), start)
                }.groupingBy { it }
                .eachCount()
        }
        listOf(
            Case("nothing is passed on while all hear each other", emptySet(), emptyMap()),
            Case(
                "one process passes on to each that is cut",
                setOf(BrokenLink(a, b), BrokenLink(a, c)),
                mapOf(
                    b to 1,
                    c to 1,
                ),
            ),
            Case("a cut in the other direction needs no detour", setOf(BrokenLink(b, a)), emptyMap()),
            Case(
                "a process that the receiver does not hear passes nothing on",
                setOf(BrokenLink(a, b), BrokenLink(a, c), BrokenLink(c, b), BrokenLink(d, b)),
                mapOf(b to 1, c to 1),
            ),
            Case(
                "no process is left to pass on",
                setOf(BrokenLink(a, b), BrokenLink(c, b), BrokenLink(d, b), BrokenLink(e, b)),
                emptyMap(),
            ),
        ).forEach { case ->
            test(case.name) {
                forwarded(case.brokenLinks) shouldBe case.forwarded
            }
        }

        test("reports for the same link are passed on with a pause between them") {
            val forwarding = ReportForwarding(c)
            forwarding.updateMissingSenders(b, setOf(a))
            val reachable = setOf(a, b)
            forwarding.receivers(a, reachable, start) shouldBe listOf(b)
            forwarding.receivers(a, reachable, start + 45.milliseconds) shouldBe emptyList()
            forwarding.receivers(a, reachable, start + 46.milliseconds) shouldBe listOf(b)
        }
    })
