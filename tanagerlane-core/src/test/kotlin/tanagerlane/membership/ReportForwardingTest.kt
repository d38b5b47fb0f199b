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

        data class Cut(
            val from: HostName,
            val to: HostName,
        )

        data class Case(
            val name: String,
            val cuts: Set<Cut>,
            val forwarded: Map<HostName, Int>,
        )

        /** Returns how often a report of host a is forwarded to each process. */
        fun forwarded(cuts: Set<Cut>): Map<HostName, Int> {
            fun receivedBy(own: HostName) = hosts.filter { it != own && Cut(from = it, to = own) !in cuts }.toSet()
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
            Case("nothing is forwarded while all links work", emptySet(), emptyMap()),
            Case(
                "one process forwards to each disconnected receiver",
                setOf(Cut(a, b), Cut(a, c)),
                mapOf(
                    b to 1,
                    c to 1,
                ),
            ),
            Case("a broken link in the other direction needs no forwarding", setOf(Cut(b, a)), emptyMap()),
            Case(
                "a process that cannot reach the receiver forwards nothing",
                setOf(Cut(a, b), Cut(a, c), Cut(c, b), Cut(d, b)),
                mapOf(b to 1, c to 1),
            ),
            Case(
                "nothing is forwarded if no process reaches the receiver",
                setOf(Cut(a, b), Cut(c, b), Cut(d, b), Cut(e, b)),
                emptyMap(),
            ),
        ).forEach { case ->
            test(case.name) {
                forwarded(case.cuts) shouldBe case.forwarded
            }
        }

        test("reports for the same link are forwarded at a minimum interval") {
            val detours = ReportForwarding(c)
            detours.updateMissingSenders(b, setOf(a))
            val reachable = setOf(a, b)
            detours.receivers(a, reachable, start) shouldBe listOf(b)
            detours.receivers(a, reachable, start + 45.milliseconds) shouldBe emptyList()
            detours.receivers(a, reachable, start + 46.milliseconds) shouldBe listOf(b)
        }
    })
