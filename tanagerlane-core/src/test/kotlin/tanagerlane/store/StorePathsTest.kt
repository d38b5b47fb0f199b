package tanagerlane.store

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.HostName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class StorePathsTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000_000)
        val a = HostName("entry-a")
        val b = HostName("entry-b")
        val c = HostName("entry-c")
        val all = setOf(a, b, c)

        data class Case(
            val name: String,
            val paths: StorePaths,
            val reachable: Set<HostName> = all,
            val after: Duration = 100.milliseconds,
            val skipsDirectPath: Boolean,
            val candidates: List<HostName>,
        )
        listOf(
            Case(
                "a process without a failure calls directly",
                StorePaths(),
                skipsDirectPath = false,
                candidates = listOf(a, b),
            ),
            Case(
                "without a known relay the direct path is tried first",
                StorePaths().directAttemptFailed(start),
                skipsDirectPath = false,
                candidates = listOf(a, b),
            ),
            Case(
                "the last successful relay is tried first, without a direct attempt",
                StorePaths().directAttemptFailed(start).relaySucceeded(c),
                skipsDirectPath = true,
                candidates = listOf(c, a),
            ),
            Case(
                "an unreachable relay is left out",
                StorePaths().directAttemptFailed(start).relaySucceeded(c),
                reachable = setOf(a, b),
                skipsDirectPath = false,
                candidates = listOf(a, b),
            ),
            Case(
                "a relay that failed recently is left out",
                StorePaths().directAttemptFailed(start).relaySucceeded(a).relayFailed(a, start),
                skipsDirectPath = false,
                candidates = listOf(b, c),
            ),
            Case(
                "a relay that failed is tried again later",
                StorePaths().directAttemptFailed(start).relayFailed(a, start),
                after = 1501.milliseconds,
                skipsDirectPath = false,
                candidates = listOf(a, b),
            ),
            Case(
                "no relay is tried while all have failed recently, as in an outage of the object API",
                StorePaths()
                    .directAttemptFailed(start)
                    .relayFailed(a, start)
                    .relayFailed(b, start)
                    .relayFailed(c, start),
                skipsDirectPath = false,
                candidates = emptyList(),
            ),
            Case(
                "a process that is served again calls directly",
                StorePaths().directAttemptFailed(start).relaySucceeded(c).directAttemptSucceeded(),
                skipsDirectPath = false,
                candidates = listOf(c, a),
            ),
            Case(
                "the direct path is tried first again after 5 s",
                StorePaths().directAttemptFailed(start).relaySucceeded(c),
                after = 6.seconds,
                skipsDirectPath = false,
                candidates = listOf(c, a),
            ),
        ).forEach { case ->
            test(case.name) {
                val now = start + case.after
                case.paths.skipsDirectPath(case.reachable, now) shouldBe case.skipsDirectPath
                case.paths.relayCandidates(case.reachable.sortedBy { it.text }, now) shouldBe case.candidates
            }
        }

        test("the direct path is retried in parallel with calls at most once a second") {
            val paths = StorePaths().directAttemptFailed(start)
            paths.isDirectRetryDue(start + 999.milliseconds) shouldBe false
            paths.isDirectRetryDue(start + 1.seconds) shouldBe true
            paths.directAttemptStarted(start + 1.seconds).isDirectRetryDue(start + 1999.milliseconds) shouldBe false
        }
    })
