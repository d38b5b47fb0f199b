package tanagerlane.resumption

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.message.OriginQuery
import tanagerlane.message.OriginReply
import tanagerlane.message.StreamOrigin
import tanagerlane.model.HostName
import tanagerlane.places.DirectTarget
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration.Companion.seconds

/** Guards against versions that come and leave between what a process is told and what it lists itself. */
class MissingChangesTest :
    FunSpec({
        data class MissingCase(
            val name: String,
            val replies: List<OriginReply>,
            val missingSince: Long?,
            val listed: List<DirectTarget> = listOf(target("t1")),
            val goesOn: Boolean,
        )
        listOf(
            MissingCase("nothing is told", listOf(reply(sole = null, at = 90)), missingSince = null, goesOn = false),
            MissingCase("told up to the listing", listOf(reply(at = 100)), missingSince = null, goesOn = true),
            MissingCase("told up to an earlier time", listOf(reply(at = 90)), missingSince = 90, goesOn = true),
            MissingCase(
                "another version came and left since",
                listOf(reply(at = 90)),
                missingSince = 90,
                listed = listOf(target("t1"), target("t2", "v2")),
                goesOn = false,
            ),
            MissingCase("told by two", listOf(reply(at = 80), reply(at = 90)), missingSince = 90, goesOn = true),
            MissingCase(
                "told up to the listing and earlier",
                listOf(reply(at = 80), reply(at = 100)),
                missingSince = null,
                goesOn = true,
            ),
        ).forEach { case ->
            test("a process that has just listed the targets reads what it lacks: ${case.name}") {
                val directory = OriginDirectory(HostName("entry-1"))
                directory.observe(targets(listOf("v1")), at(20), ObjectVersion(100))
                val since = directory.missingSince(MODELS, case.replies, at(20))
                since?.number shouldBe case.missingSince
                since?.let { directory.versions.extend(case.listed, it, at(20)) }
                val resumption = directory.resolve(ATTEMPT, MODELS, case.replies, isConfirmed = true, at(20))
                (resumption is Resumption.At) shouldBe case.goesOn
            }
        }

        test("a process that has listed the targets for long enough lacks nothing") {
            val directory = OriginDirectory(HostName("entry-1"))
            (0..20).forEach { directory.observe(targets(listOf("v1")), at(it), ObjectVersion(100)) }
            directory.missingSince(MODELS, listOf(reply(at = 90)), at(20)) shouldBe null
        }

        data class ConfirmationCase(
            val name: String,
            val versions: List<String>,
            val replies: List<OriginReply> = listOf(reply(at = 100)),
            val isKnown: Boolean = false,
            val expected: Boolean,
        )
        val seen = StreamOrigin(ATTEMPT, MODELS, version("v1"), target("t-v1").name)
        listOf(
            ConfirmationCase("one version", listOf("v1"), expected = true),
            ConfirmationCase("two versions", listOf("v1", "v2"), expected = false),
            ConfirmationCase("two versions, the origin is known", listOf("v1", "v2"), isKnown = true, expected = true),
            ConfirmationCase(
                "two versions, the origin is told",
                listOf("v1", "v2"),
                listOf(reply(100).copy(origin = seen)),
                expected = true,
            ),
        ).forEach { case ->
            test("targets are confirmed only where that may help: ${case.name}") {
                val directory = OriginDirectory(HostName("entry-1"))
                directory.observe(targets(case.versions), at(20), ObjectVersion(100))
                if (case.isKnown) directory.began(ATTEMPT, target("t-v1"), at(20))
                directory.needsConfirmation(ATTEMPT, MODELS, case.replies, at(20)) shouldBe case.expected
            }
        }

        test("a version that came and left between two observations is known") {
            val directory = OriginDirectory(HostName("entry-1"))
            (0..20).forEach { directory.observe(targets(listOf("v1")), at(it), ObjectVersion(100)) }
            directory.versions.observePassed(listOf(target("t2", "v2")), at(20))
            directory.resolve(ATTEMPT, MODELS, emptyList(), isConfirmed = true, at(20)) shouldBe Resumption.Unknown
        }

        test("what was inferred is not told as if it was seen") {
            val directory = OriginDirectory(HostName("entry-1"))
            (0..20).forEach { directory.observe(targets(listOf("v1")), at(it), ObjectVersion(100)) }
            directory.resolve(ATTEMPT, MODELS, emptyList(), isConfirmed = true, at(20))
            val query = OriginQuery(HostName("entry-2"), query = 7, ATTEMPT, MODELS)
            directory.reply(query, isCurrent = true, at(20)).origin shouldBe null
            directory.observe(targets(listOf("v1", "v2")), at(20), ObjectVersion(101)) shouldBe emptyList()
        }
    }) {
    private companion object {
        fun reply(
            at: Long,
            sole: String? = "v1",
        ) = OriginReply(
            HostName("peer-$at"),
            query = 7,
            soleVersion = sole?.let(::version),
            versions = listOf(version("v1")),
            period = 10.seconds,
            age = 1.seconds,
            at = at,
        )
    }
}
