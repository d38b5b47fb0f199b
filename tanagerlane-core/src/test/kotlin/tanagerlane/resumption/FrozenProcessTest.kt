package tanagerlane.resumption

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.message.OriginQuery
import tanagerlane.message.OriginReply
import tanagerlane.model.HostName
import tanagerlane.model.SoftwareVersion
import kotlin.time.Duration.Companion.seconds

/** Guards against frozen processes that vouch for versions of the time in which they observed nothing. */
class FrozenProcessTest :
    FunSpec({
        data class Case(
            val name: String,
            val observed: List<Int>,
            val isNew: Boolean = false,
            val isTold: Boolean = false,
            val sole: SoftwareVersion?,
        )
        listOf(
            Case("observed all the time", (1..END).toList(), sole = version("v1")),
            Case("frozen for 2 s", (1..20) + (22..END), sole = version("v1")),
            Case("frozen for 8 s", (1..20) + (28..END), sole = null),
            Case("frozen for 8 s in a new deployment", (1..20) + (28..END), isNew = true, sole = null),
            Case("frozen for 8 s and told since", (1..20) + (28..END), isTold = true, sole = version("v1")),
            Case("frozen longer than streams last", listOf(1, END), sole = null),
        ).forEach { case ->
            test("a process vouches for one version only if it has observed the targets: ${case.name}") {
                val directory = OriginDirectory(HostName("entry-1"))
                if (case.isNew) directory.versions.assumeNothingBefore()
                case.observed.forEach { directory.observe(targets(listOf("v1")), at(it)) }
                if (case.isTold) directory.learn(MODELS, listOf(TOLD), askedAt = at(END), at(END))
                directory.reply(QUERY, isCurrent = true, at(END)).soleVersion shouldBe case.sole
            }
        }
    }) {
    private companion object {
        const val END = 30
        val QUERY = OriginQuery(HostName("entry-2"), query = 7, ATTEMPT, MODELS)
        val TOLD =
            OriginReply(
                HostName("peer"),
                query = 7,
                soleVersion = version("v1"),
                versions = listOf(version("v1")),
                period = 10.seconds,
                age = 1.seconds,
            )
    }
}
