package tanagerlane.resumption

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import tanagerlane.message.OriginQuery
import tanagerlane.message.OriginReply
import tanagerlane.message.StreamOrigin
import tanagerlane.model.HostName
import tanagerlane.model.RequestId
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration.Companion.seconds

class OriginDirectoryTest :
    FunSpec({
        data class ResolveCase(
            val name: String,
            val directory: OriginDirectory,
            val expected: Resumption,
            val replies: List<OriginReply> = emptyList(),
            val attempt: RequestId? = ATTEMPT,
            val isConfirmed: Boolean = true,
            val isIsolated: Boolean = false,
        )

        val restarted = ORIGIN.copy(target = target("t-v2").name)
        listOf(
            ResolveCase("began here", began("v1", "v2"), At(ORIGIN.copy(age = 1.seconds), OriginSource.OWN)),
            ResolveCase("another attempt began here", began("v1", "v2"), UNKNOWN, attempt = RequestId("a2")),
            ResolveCase(
                "began here, but its target has started again with another version",
                began("v1").apply { observe(listOf(target("t-v1", "v2")), NOW) },
                UNKNOWN,
            ),
            ResolveCase("began elsewhere", seen("v1", "v2"), At(ORIGIN, OriginSource.PEER), listOf(FROM_PEER)),
            ResolveCase("began elsewhere, fresh process", fresh(), At(ORIGIN, OriginSource.PEER), listOf(FROM_PEER)),
            ResolveCase(
                "began elsewhere at a target that has started again with another version",
                seen("v2"),
                UNKNOWN,
                listOf(reply(restarted), reply(sole = "v2")),
            ),
            ResolveCase(
                "one of two peers has an origin that is in doubt",
                seen("v2"),
                At(ORIGIN, OriginSource.PEER),
                listOf(reply(restarted), FROM_PEER),
            ),
            ResolveCase("one version", seen("v1"), At(SOLE, OriginSource.SOLE_VERSION)),
            ResolveCase("one version, targets not confirmed", seen("v1"), UNKNOWN, isConfirmed = false),
            ResolveCase(
                "one version here and at others, targets not confirmed",
                seen("v1"),
                UNKNOWN,
                listOf(reply(sole = "v1"), reply(sole = "v1")),
                isConfirmed = false,
            ),
            ResolveCase("began here, targets not confirmed", began("v1", "v2"), UNCONFIRMED, isConfirmed = false),
            ResolveCase(
                "began elsewhere, targets not confirmed",
                seen("v1"),
                UNCONFIRMED,
                listOf(FROM_PEER),
                isConfirmed = false,
            ),
            ResolveCase("inferred by a peer", seen("v1", "v2"), UNKNOWN, listOf(reply(SOLE))),
            ResolveCase("inferred by a peer, one version", seen("v1"), SOLE_HERE, listOf(reply(SOLE))),
            ResolveCase(
                "one version, attempt not named",
                seen("v1"),
                At(SOLE.copy(attempt = RequestId("")), OriginSource.SOLE_VERSION),
                attempt = null,
            ),
            ResolveCase("one version, no reply", seen("v1"), UNKNOWN, isIsolated = true),
            ResolveCase(
                "one version here, two seen by a peer",
                seen("v1"),
                UNKNOWN,
                listOf(reply().copy(versions = listOf(version("v1"), version("v2")))),
            ),
            ResolveCase("two versions", seen("v1", "v2"), UNKNOWN),
            ResolveCase("two versions here, one told", seen("v1", "v2"), UNKNOWN, listOf(reply(sole = "v1"))),
            ResolveCase("the same version is told", seen("v1"), SOLE_HERE, listOf(reply(sole = "v1"))),
            ResolveCase("another version is told", seen("v1"), UNKNOWN, listOf(reply(sole = "v2"))),
            ResolveCase(
                "another version is told than the one of a stale view",
                seen("v1"),
                UNKNOWN,
                listOf(reply(sole = "v2")),
                isConfirmed = false,
            ),
            ResolveCase("told to a fresh process", fresh("v1"), SOLE_TOLD, listOf(reply(), reply(sole = "v1"))),
            // Versions may have come and left between what was told and the first listing.
            ResolveCase("told to a process without targets", fresh(), UNKNOWN, listOf(reply(sole = "v1"))),
            ResolveCase(
                "told up to an earlier version of the targets than the first listing",
                fresh("v1"),
                UNKNOWN,
                listOf(reply(sole = "v1").copy(at = LISTED_AT.number - 1)),
            ),
            ResolveCase(
                "told by a process that does not tell what it knows up to",
                fresh("v1"),
                UNKNOWN,
                listOf(reply(sole = "v1").copy(at = null, age = null)),
            ),
            ResolveCase(
                "told for a shorter time than streams last",
                fresh("v1"),
                UNKNOWN,
                listOf(reply(sole = "v1").copy(period = 9.seconds)),
            ),
            ResolveCase("several told", fresh(), UNKNOWN, listOf(reply(sole = "v1"), reply(sole = "v2"))),
            ResolveCase("nothing told to a fresh process", fresh("v1"), UNKNOWN, listOf(reply(), reply())),
        ).forEach { case ->
            test("a stream goes on as expected: ${case.name}") {
                val resumption =
                    with(case) { directory.resolve(attempt, MODELS, replies, isConfirmed, NOW, isIsolated) }
                resumption shouldBe case.expected
            }
        }

        test("what was resolved is found without another query") {
            val directory = seen("v1", "v2")
            directory.resolve(ATTEMPT, MODELS, listOf(FROM_PEER), isConfirmed = true, NOW)
            directory.find(ATTEMPT, NOW) shouldBe ORIGIN
        }

        listOf(true, false).forEach { isCurrent ->
            test("a sole version is told from a current view only: current $isCurrent") {
                val told = seen("v1").reply(QUERY, isCurrent, NOW)
                told shouldBe
                    OriginReply(
                        OWN,
                        QUERY.query,
                        soleVersion = version("v1").takeIf { isCurrent },
                        versions = listOf(version("v1")),
                        period = 10.seconds,
                        at = LISTED_AT.number,
                    )
            }
        }

        test("a reported origin is told with its age") {
            val directory = fresh()
            directory.received(listOf(ORIGIN.copy(age = 2.seconds)), NOW)
            directory.reply(QUERY, isCurrent = true, NOW + 1.seconds).origin shouldBe ORIGIN.copy(age = 3.seconds)
        }

        test("streams are reported when they begin while there may be several versions") {
            val target = target("t-v1")
            seen("v1").began(ATTEMPT, target, NOW) shouldBe null
            seen("v1", "v2").began(ATTEMPT, target, NOW) shouldBe ORIGIN
            fresh("v1").began(ATTEMPT, target, NOW) shouldBe ORIGIN
        }

        test("streams that began while there was one version are reported once when a second one appears") {
            val directory = began("v1")
            directory.received(listOf(ORIGIN.copy(attempt = RequestId("reported"))), NOW)
            directory.observe(targets(listOf("v1")), NOW).shouldBeEmpty()
            directory.observe(targets(listOf("v1", "v2")), NOW) shouldBe listOf(ORIGIN.copy(age = 1.seconds))
            directory.observe(targets(listOf("v1", "v2")), NOW).shouldBeEmpty()
        }

        test("streams are forgotten after the lifetime, which follows the longest timeout") {
            val directory = began("v1", "v2")
            directory.allowTimeout(8.seconds)
            directory.allowTimeout(1.seconds)
            directory.lifetime shouldBe 16.seconds
            for ((second, size) in listOf(BEGUN_AT + 16 to 1, BEGUN_AT + 17 to 0)) {
                directory.observe(targets(listOf("v1", "v2")), at(second))
                directory.size shouldBe size
            }
            directory.resolve(ATTEMPT, MODELS, emptyList(), isConfirmed = true, at(BEGUN_AT + 17)) shouldBe UNKNOWN
        }

        test("the oldest streams are forgotten beyond the maximum") {
            val directory = OriginDirectory(OWN, maximumStreams = 2)
            directory.observe(targets(listOf("v1", "v2")), at(0))
            val attempts = listOf("a1", "a2", "a3").map(::RequestId)
            attempts.forEach { directory.began(it, target("t-v1"), NOW) }
            directory.size shouldBe 2
            attempts.map { directory.resolve(it, MODELS, emptyList(), isConfirmed = true, NOW) == UNKNOWN } shouldBe
                listOf(true, false, false)
        }
    }) {
    private companion object {
        const val BEGUN_AT = 19
        val NOW = at(BEGUN_AT + 1)
        val LISTED_AT = ObjectVersion(100)
        val OWN = HostName("entry-1")
        val UNKNOWN = Resumption.Unknown
        val UNCONFIRMED = Resumption.Unconfirmed
        val SOLE = StreamOrigin(ATTEMPT, MODELS, version("v1"))
        val ORIGIN = SOLE.copy(target = target("t-v1").name)
        val SOLE_HERE = At(SOLE, OriginSource.SOLE_VERSION)
        val SOLE_TOLD = At(SOLE, OriginSource.PEER_SOLE_VERSION)
        val FROM_PEER = reply(ORIGIN)
        val QUERY = OriginQuery(HostName("entry-2"), query = 7, ATTEMPT, MODELS)

        fun reply(
            origin: StreamOrigin? = null,
            sole: String? = null,
        ) = OriginReply(
            HostName("peer"),
            query = 7,
            origin,
            sole?.let(::version),
            period = 10.seconds,
            age = 0.seconds,
            at = LISTED_AT.number,
        )

        /** Has observed targets of [versions] at this time only. */
        fun fresh(vararg versions: String) =
            OriginDirectory(OWN).apply { observe(targets(versions.toList()), NOW, LISTED_AT) }

        /** Has observed targets of [versions] for longer than streams last. */
        fun seen(vararg versions: String) =
            OriginDirectory(OWN).apply {
                (0..20).forEach { observe(targets(versions.toList()), at(it), LISTED_AT) }
            }

        /** Has forwarded the stream of [ATTEMPT] from a target of `v1` besides. */
        fun began(vararg versions: String) = seen(*versions).apply { began(ATTEMPT, target("t-v1"), at(BEGUN_AT)) }
    }
}

private typealias At = Resumption.At
