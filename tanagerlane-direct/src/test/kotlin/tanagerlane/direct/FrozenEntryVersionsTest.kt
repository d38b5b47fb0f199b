package tanagerlane.direct

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeAtLeast
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import org.slf4j.LoggerFactory
import tanagerlane.standin.store.StoreFaults
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Take-ups at entries that stood still while targets of another software version came into service. */
class FrozenEntryVersionsTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        listOf(
            "an entry stands still for 1 s" to EntryPause(1.seconds),
            "an entry stands still for 2.9 s and finds take-ups in its sockets" to
                EntryPause(2900.milliseconds, lead = 200.milliseconds),
            "an entry and the runner stand still for 2 s" to EntryPause(2.seconds, isRunnerFrozen = true),
            "all that are left stand still for 1 s" to EntryPause(1.seconds, frozenEntries = 2, isRunnerKilled = true),
            "all that are left stand still for 2 s with full sockets and the object API is slow" to
                EntryPause(
                    2.seconds,
                    frozenEntries = 2,
                    isRunnerKilled = true,
                    areSocketsFull = true,
                    faults = StoreFaults(delay = 500.milliseconds),
                ),
            "all that are left stand still for 2.9 s with full sockets and the object API is away" to
                EntryPause(
                    2900.milliseconds,
                    frozenEntries = 2,
                    lead = 200.milliseconds,
                    isRunnerKilled = true,
                    areSocketsFull = true,
                    faults = StoreFaults(down = true),
                ),
        ).forEach { (name, pause) ->
            test("no stream goes on at another version when $name") {
                val scene = FrozenEntryScene(vertx, pause.frozenEntries)
                try {
                    scene.start()
                    val callers = scene.takeUps(pause)
                    val disturbed = callers.filter { it.isTakenUp && FrozenEntryScene.NEW_VERSION in it.versions }
                    logger.info(
                        "{}: disturbed={} whole={} two_versions={}",
                        name,
                        disturbed.size,
                        disturbed.count { it.isWhole },
                        disturbed.count { it.versions.size > 1 },
                    )
                    assertSoftly {
                        withClue("texts of two versions") { callers.filter { it.versions.size > 1 }.shouldBeEmpty() }
                        withClue("streams that were taken up") { disturbed.size shouldBeAtLeast LEAST_DISTURBED }
                    }
                } finally {
                    scene.close()
                }
            }
        }
    }) {
    private companion object {
        val logger = LoggerFactory.getLogger(FrozenEntryVersionsTest::class.java)

        /** Least number of streams that have to be taken up to show anything. */
        const val LEAST_DISTURBED = 20
    }
}
