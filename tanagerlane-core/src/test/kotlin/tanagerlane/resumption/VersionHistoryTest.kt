package tanagerlane.resumption

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class VersionHistoryTest :
    FunSpec({
        data class HistoryCase(
            val name: String,
            val seen: List<Pair<Int, List<String>>>,
            val at: Int,
            val sole: String?,
            val isNew: Boolean = false,
        )
        listOf(
            HistoryCase("nothing was observed", emptyList(), at = 20, sole = null),
            HistoryCase("no targets are in service", listOf(0 to emptyList(), 20 to emptyList()), at = 20, sole = null),
            HistoryCase("observed for less than the period", listOf(0 to ONE, 9 to ONE), at = 9, sole = null),
            HistoryCase("observed for the whole period", listOf(0 to ONE, 10 to ONE), at = 10, sole = "v1"),
            HistoryCase("a new deployment", listOf(0 to ONE), at = 0, sole = "v1", isNew = true),
            HistoryCase("two versions are in service", listOf(0 to ONE, 20 to BOTH), at = 20, sole = null),
            HistoryCase("two in a new deployment", listOf(0 to BOTH), at = 0, sole = null, isNew = true),
            HistoryCase("another version replaced it", listOf(0 to ONE, 20 to TWO), at = 20, sole = null),
            HistoryCase("another left within the period", listOf(0 to BOTH, 5 to TWO, 15 to TWO), at = 10, sole = null),
            HistoryCase("another left before the period", listOf(0 to BOTH, 5 to TWO, 16 to TWO), at = 16, sole = "v2"),
            HistoryCase("another came for a moment", listOf(0 to ONE, 20 to BOTH, 21 to ONE), at = 30, sole = null),
            HistoryCase("the last target left within the period", listOf(0 to ONE, 11 to NONE), at = 10, sole = "v1"),
        ).forEach { case ->
            test("the sole version is ${case.sole} at ${case.at} s: ${case.name}") {
                val history = VersionHistory()
                if (case.isNew) history.assumeNothingBefore()
                case.seen.forEach { (time, versions) -> history.observe(targets(versions), at(time)) }
                history.soleVersion(MODELS, PERIOD, at(case.at))?.text shouldBe case.sole
            }
        }

        test("versions of other services do not count") {
            val history = VersionHistory()
            history.observe(targets(ONE) + target("other", "v2", service = "speech"), at(0))
            history.observe(targets(ONE) + target("other", "v2", service = "speech"), at(20))
            history.soleVersion(MODELS, PERIOD, at(20)) shouldBe version("v1")
            history.hasSeveral(MODELS) shouldBe false
        }

        test("versions that left are kept for the period and forgotten on request") {
            val history = VersionHistory()
            history.observe(targets(BOTH), at(0))
            history.observe(targets(TWO), at(5))
            history.hasSeveral(MODELS) shouldBe false
            history.versions(MODELS, PERIOD, at(15)) shouldBe setOf(version("v1"), version("v2"))
            history.observe(targets(TWO), at(12))
            history.versions(MODELS, PERIOD, at(16)) shouldBe setOf(version("v2"))
            history.forgetBefore(at(6))
            history.versions(MODELS, PERIOD, at(15)) shouldBe setOf(version("v2"))
        }

        test("the version of a target is that of its present incarnation") {
            val history = VersionHistory()
            history.observe(listOf(target("t0", "v1")), at(0))
            history.observe(listOf(target("t0", "v2")), at(1))
            history.versionOf(target("t0").name) shouldBe version("v2")
            history.versionOf(target("t1").name) shouldBe null
        }
    }) {
    private companion object {
        val PERIOD = 10.seconds
        val NONE = emptyList<String>()
        val ONE = listOf("v1")
        val TWO = listOf("v2")
        val BOTH = listOf("v1", "v2")
    }
}
