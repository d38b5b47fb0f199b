package tanagerlane.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.PromptPart
import tanagerlane.model.RequestDigest
import tanagerlane.model.TargetName
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Guards against processes that crash further targets because they have just started and know of no verdict. */
class NewcomerTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000_000)
        val request = RequestDigest("crashing")
        val part = PromptPart("part")

        data class Case(
            val name: String,
            val crashes: Int,
            val hosts: Int,
            val isKnown: Boolean,
        )

        listOf(
            Case(
                "a process that has just started is told of a verdict at once",
                crashes = 3,
                hosts = 5,
                isKnown = true,
            ),
            Case(
                "a process that has just started is told by the only other one",
                crashes = 3,
                hosts = 1,
                isKnown = true,
            ),
            Case("a process that has just started is told of no verdict where there is none", 2, 5, isKnown = false),
        ).forEach { case ->
            test(case.name) {
                val hosts = List(case.hosts) { HostName("host-$it") }
                val newcomer = HostName("newcomer")
                val quarantines = hosts.map { PromptQuarantine(it, Incarnation(1)) }
                repeat(case.crashes) { crash ->
                    val at = start + 100.milliseconds * crash
                    val traits = RequestTraits(listOf(part), request)
                    quarantines.first().lost(
                        TargetName("t$crash"),
                        traits,
                        LossStage.STREAMING,
                        at - 50.milliseconds,
                        at,
                    )
                }
                val reportedAt = start + 500.milliseconds
                quarantines.first().reports(hosts.toSet(), reportedAt).forEach { report ->
                    quarantines.drop(1).forEach { it.received(report, reportedAt) }
                }
                val started = PromptQuarantine(newcomer, Incarnation(1))
                val heardAt = start + 10.seconds
                quarantines.zip(hosts).forEach { (quarantine, host) ->
                    quarantine
                        .reportsFor(newcomer, hosts.toSet() - host + newcomer, heardAt)
                        .forEach { started.received(it, heardAt) }
                }
                (started.findQuarantined(request, heardAt) != null) shouldBe case.isKnown
            }
        }
    })
