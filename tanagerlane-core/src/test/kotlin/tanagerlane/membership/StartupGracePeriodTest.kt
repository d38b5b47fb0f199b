package tanagerlane.membership

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.message.HostRole
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class StartupGracePeriodTest :
    FunSpec({
        val gracePeriod = StartupGracePeriod(duration = 700.milliseconds)

        fun member(
            name: String,
            role: HostRole,
        ) = Member(HostName(name), role, Incarnation(1), FailureDomain("a"), address = "10.0.0.1:7660")

        val members = listOf(member("entry-1", HostRole.ENTRY), member("batch-1", HostRole.BATCH))

        data class Case(
            val name: String,
            val members: List<Member>?,
            val silent: List<String>,
            val sinceStart: Duration,
            val expected: Boolean,
        )
        listOf(
            Case("over once all of the role have been heard from", members, listOf("entry-1"), 1.milliseconds, true),
            Case("not over while one of the role is silent", members, listOf("batch-1"), 700.milliseconds, false),
            Case("over after its duration", members, listOf("batch-1"), 701.milliseconds, true),
            Case("not over while the members are unknown", null, emptyList(), 701.milliseconds, false),
            Case("over if there are no other members", emptyList(), emptyList(), 1.milliseconds, true),
        ).forEach { case ->
            test("the grace period is ${case.name}") {
                val silent = case.silent.map(::HostName)
                gracePeriod.isOver(case.members, HostRole.BATCH, silent, case.sinceStart) shouldBe case.expected
            }
        }
    })
