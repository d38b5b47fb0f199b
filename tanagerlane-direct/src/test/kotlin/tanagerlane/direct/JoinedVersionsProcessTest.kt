package tanagerlane.direct

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeAtLeast
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds
import io.kotest.matchers.doubles.shouldBeAtLeast as shouldBeAtLeastDouble

/** Streams whose entries or targets are lost while targets of two software versions are in service. */
class JoinedVersionsProcessTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        listOf(
            Case("one entry is killed", takenUpShare = 0.5) { it.entries.first().kill() },
            Case("all entries start again") { it.restart(it.entries) },
            Case("all entries and the batch runner start again") { it.restart(it.entries + it.runner) },
            Case("the targets of one version leave and all entries start again", restartMilliseconds = 60_000) {
                it.removeTargets("v1")
                it.restart(it.entries)
            },
            Case("one entry is killed and only one version is in service", listOf("v1", "v1", "v1", "v1"), 0.5) {
                it.entries.first().kill()
            },
            Case("a target crashes", callers = 6, isTakenUp = false) { it.targets.first().crash() },
        ).forEach { case ->
            test("no text holds events of two versions when ${case.name}") {
                val site = VersionsSite(vertx, case.versions, case.restartMilliseconds)
                try {
                    site.start()
                    val callers = site.stream(case.callers) { case.disturb(site) }
                    logger.info("{}: {}", case.name, summaryOf(callers, site))
                    assertSoftly {
                        checkTexts(callers)
                        checkRefusals(callers, site)
                        if (case.isTakenUp) checkTakeUps(callers, case) else checkWithinAnswer(callers, site)
                    }
                } finally {
                    site.close()
                }
            }
        }
    }) {
    /**
     * A disturbance of streams.
     *
     * @property takenUpShare least share of the streams that were taken up which end whole
     * @property restartMilliseconds time for which a target that crashed is away, in milliseconds
     * @property isTakenUp whether callers have to take their streams up, as entries are lost
     */
    private class Case(
        val name: String,
        val versions: List<String> = listOf("v1", "v2", "v1", "v2"),
        val takenUpShare: Double = 0.0,
        val restartMilliseconds: Long = 500,
        val callers: Int = 20,
        val isTakenUp: Boolean = true,
        val disturb: suspend (VersionsSite) -> Unit,
    )

    private companion object {
        val logger = LoggerFactory.getLogger(JoinedVersionsProcessTest::class.java)
        val REFUSAL_BOUND = 1.seconds

        /** Least number of streams that a disturbance has to reach to show anything. */
        const val LEAST_DISTURBED = 2

        fun summaryOf(
            callers: List<StreamCaller>,
            site: VersionsSite,
        ): String {
            val takenUp = callers.filter { it.isTakenUp }
            return "callers=${callers.size} whole=${callers.count { it.isWhole }} " +
                "two_versions=${callers.count { it.versions.size > 1 }} " +
                "taken_up=${takenUp.size} taken_up_whole=${takenUp.count { it.isWhole }} " +
                "refusals=${callers.sumOf { caller -> caller.attempts.count { it.isRefused } }} " +
                "began=${site.targets.joinToString { "${it.name}/${it.version}: ${site.beganAt(it)}" }}"
        }

        fun checkTexts(callers: List<StreamCaller>) {
            withClue("texts of two versions") { callers.filter { it.versions.size > 1 }.shouldBeEmpty() }
            withClue("texts with gaps or repetitions") {
                callers
                    .filter { caller ->
                        caller.events.map { it.number } != (1..caller.events.size).toList()
                    }.shouldBeEmpty()
            }
            withClue("answers that end regularly before the last event") {
                callers.filter { it.isWhole && it.events.size < VersionsSite.EVENTS }.shouldBeEmpty()
            }
        }

        fun checkRefusals(
            callers: List<StreamCaller>,
            site: VersionsSite,
        ) {
            val attempts = callers.flatMap { it.attempts }
            withClue("refusals of requests that reached targets") {
                attempts.filter { it.isRefused && site.targetsOf(it.id).isNotEmpty() }.shouldBeEmpty()
            }
            withClue("late refusals and requests without an answer") {
                attempts.filter { it.isWithoutStream && it.time > REFUSAL_BOUND }.shouldBeEmpty()
            }
        }

        fun checkTakeUps(
            callers: List<StreamCaller>,
            case: Case,
        ) {
            val takenUp = callers.filter { it.isTakenUp }
            withClue("streams that were taken up") { takenUp.size shouldBeAtLeast LEAST_DISTURBED }
            withClue("whole streams of ${takenUp.size} that were taken up") {
                takenUp.count { it.isWhole }.toDouble() shouldBeAtLeastDouble takenUp.size * case.takenUpShare
            }
        }

        /** Checks that at least a half of the streams at the crashed target end whole without another request. */
        fun checkWithinAnswer(
            callers: List<StreamCaller>,
            site: VersionsSite,
        ) {
            val crashed = site.targets.single { it.crashes > 0 }
            val cut = callers.filter { caller -> crashed in site.targetsOf(caller.attempts.first().id) }
            withClue("streams at the crashed target") { cut.size shouldBeAtLeast LEAST_DISTURBED }
            withClue("whole answers of ${cut.size} streams at the crashed target") {
                cut.count { it.isWhole && it.attempts.size == 1 } * 2 shouldBeAtLeast cut.size
            }
        }
    }
}
