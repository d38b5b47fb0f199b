package tanagerlane.resumption

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.message.OriginQuery
import tanagerlane.message.OriginReply
import tanagerlane.model.HostName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against streams that nobody can vouch for once the only process that knows of their one version is lost. */
class ToldVersionsTest :
    FunSpec({
        data class ToldCase(
            val name: String,
            val replies: List<OriginReply>,
            val seen: List<Pair<Int, List<String>>> = listOf(1 to ONE, 3 to ONE),
            val sole: String?,
        )
        listOf(
            ToldCase("by one of two processes", listOf(reply(), reply("v1")), sole = "v1"),
            ToldCase("by nobody", listOf(reply(), reply()), sole = null),
            ToldCase(
                "from targets that were read before this process started",
                listOf(reply("v1", age = 3)),
                sole = null,
            ),
            ToldCase("from targets of unknown age", listOf(reply("v1", age = null)), sole = null),
            ToldCase("for a shorter time than streams last", listOf(reply("v1", period = 9)), sole = null),
            ToldCase("by an earlier release", listOf(reply("v1", age = null, period = null)), sole = null),
            ToldCase("another version", listOf(reply("v2")), sole = null),
            ToldCase("two versions", listOf(reply("v1"), reply("v2")), sole = null),
            ToldCase(
                "one version, and another process has seen two",
                listOf(reply("v1"), reply(seen = BOTH)),
                sole = null,
            ),
            ToldCase("before it was replaced", listOf(reply("v1")), listOf(1 to ONE, 3 to ONE, 4 to TWO), sole = null),
            ToldCase(
                "before a second one came",
                listOf(reply("v1")),
                listOf(1 to ONE, 3 to ONE, 4 to BOTH),
                sole = null,
            ),
            ToldCase(
                "while no targets were known",
                listOf(reply("v1")),
                listOf(0 to emptyList(), 3 to ONE),
                sole = null,
            ),
        ).forEach { case ->
            test("a process that was told of one version tells others: ${case.name}") {
                val directory = OriginDirectory(HostName("entry-1"))
                val (before, after) = case.seen.partition { (time, _) -> time <= ASKED_AT }
                before.forEach { (time, versions) -> directory.observe(targets(versions), at(time)) }
                directory.learn(MODELS, case.replies, at(ASKED_AT), at(ASKED_AT))
                after.forEach { (time, versions) -> directory.observe(targets(versions), at(time)) }
                directory.reply(QUERY, isCurrent = true, at(5)).soleVersion?.text shouldBe case.sole
            }
        }

        test("a process asks about services with one version until it knows") {
            val directory = OriginDirectory(HostName("entry-1"))
            directory.observe(targets(ONE) + targets(BOTH).map { it.copy(service = OTHER) }, at(1))
            directory.unknownServices(at(2)) shouldBe setOf(MODELS)
            directory.learn(MODELS, listOf(reply("v1")), at(ASKED_AT), at(ASKED_AT))
            directory.unknownServices(at(4)) shouldBe emptySet()
        }

        test("a process that has observed the targets for long enough asks no more") {
            val directory = OriginDirectory(HostName("entry-1"))
            directory.observe(targets(ONE), at(1))
            directory.unknownServices(at(10)) shouldBe setOf(MODELS)
            directory.unknownServices(at(11)) shouldBe emptySet()
        }
    }) {
    private companion object {
        const val ASKED_AT = 3
        val OTHER = target("other", service = "speech").service
        val QUERY = OriginQuery(HostName("entry-2"), query = 7, ATTEMPT, MODELS)
        val ONE = listOf("v1")
        val TWO = listOf("v2")
        val BOTH = listOf("v1", "v2")

        fun reply(
            sole: String? = null,
            age: Int? = 1,
            period: Int? = 10,
            seen: List<String> = listOfNotNull(sole),
        ) = OriginReply(
            HostName("peer"),
            query = 7,
            soleVersion = sole?.let(::version),
            versions = seen.map(::version),
            period = period.duration(),
            age = age.duration(),
        )

        fun Int?.duration(): Duration? = this?.seconds
    }
}
