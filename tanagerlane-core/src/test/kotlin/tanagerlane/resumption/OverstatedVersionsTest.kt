package tanagerlane.resumption

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.message.OriginQuery
import tanagerlane.message.OriginReply
import tanagerlane.model.HostName
import tanagerlane.model.SoftwareVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against processes that vouch for one version over a longer time than they were told of. */
class OverstatedVersionsTest :
    FunSpec({
        data class Case(
            val name: String,
            val replies: List<OriginReply>,
            val timeout: Duration = 5.seconds,
            val sole: SoftwareVersion?,
        )
        listOf(
            Case("for as long as streams last", listOf(reply(age = 2)), sole = version("v1")),
            Case("before the timeouts of routes rise", listOf(reply(age = 2)), timeout = 6.seconds, sole = null),
            Case(
                "for as long as streams last once the timeouts have risen",
                listOf(reply(age = 2, period = 12)),
                timeout = 6.seconds,
                sole = version("v1"),
            ),
            Case(
                "for a shorter time by the only process that tells the age of its targets",
                listOf(reply(age = null, period = null), reply(age = 1, period = 4)),
                sole = null,
            ),
        ).forEach { case ->
            test("a process vouches for no longer than it was told of: ${case.name}") {
                val directory = OriginDirectory(HostName("entry-1"))
                listOf(1, 4).forEach { directory.observe(targets(listOf("v1")), at(it)) }
                directory.learn(MODELS, case.replies, askedAt = at(4), at(4))
                directory.allowTimeout(case.timeout)
                directory.reply(QUERY, isCurrent = true, at(4)).soleVersion shouldBe case.sole
            }
        }
    }) {
    private companion object {
        val QUERY = OriginQuery(HostName("entry-2"), query = 7, ATTEMPT, MODELS)
        var hosts = 0

        fun reply(
            age: Int?,
            period: Int? = 10,
        ) = OriginReply(
            HostName("peer-${hosts++}"),
            query = 7,
            soleVersion = version("v1"),
            versions = listOf(version("v1")),
            period = period?.seconds,
            age = age?.seconds,
        )
    }
}
