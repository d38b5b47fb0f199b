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
                "a process that was never turned away calls by itself",
                StorePaths(),
                skipsDirectPath = false,
                candidates = listOf(a, b),
            ),
            Case(
                "without a known helper the own path is tried first",
                StorePaths().directAttemptFailed(start),
                skipsDirectPath = false,
                candidates = listOf(a, b),
            ),
            Case(
                "the last helper is asked first, without a try of the own path",
                StorePaths().directAttemptFailed(start).relaySucceeded(c),
                skipsDirectPath = true,
                candidates = listOf(c, a),
            ),
            Case(
                "a helper that can't be reached is not waited for",
                StorePaths().directAttemptFailed(start).relaySucceeded(c),
                reachable = setOf(a, b),
                skipsDirectPath = false,
                candidates = listOf(a, b),
            ),
            Case(
                "a helper that could not help is left out",
                StorePaths().directAttemptFailed(start).relaySucceeded(a).relayFailed(a, start),
                skipsDirectPath = false,
                candidates = listOf(b, c),
            ),
            Case(
                "a helper that could not help is asked again later",
                StorePaths().directAttemptFailed(start).relayFailed(a, start),
                after = 1501.milliseconds,
                skipsDirectPath = false,
                candidates = listOf(a, b),
            ),
            Case(
                "nobody is asked while all could not help, as when the object API is down",
                StorePaths()
                    .directAttemptFailed(start)
                    .relayFailed(a, start)
                    .relayFailed(b, start)
                    .relayFailed(c, start),
                skipsDirectPath = false,
                candidates = emptyList(),
            ),
            Case(
                "a process that is served again calls by itself",
                StorePaths().directAttemptFailed(start).relaySucceeded(c).directAttemptSucceeded(),
                skipsDirectPath = false,
                candidates = listOf(c, a),
            ),
            Case(
                "the own path is tried first again after a while",
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

        test("the own path is tried beside calls at most once a second") {
            val paths = StorePaths().directAttemptFailed(start)
            paths.isDirectRetryDue(start + 999.milliseconds) shouldBe false
            paths.isDirectRetryDue(start + 1.seconds) shouldBe true
            paths.directAttemptStarted(start + 1.seconds).isDirectRetryDue(start + 1999.milliseconds) shouldBe false
        }
    })
