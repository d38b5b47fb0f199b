package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import tanagerlane.limits.Rate
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards against processes that admit the burst of a workspace again because all others have stopped as planned. */
class PlannedStopRateTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        data class StopCase(
            val name: String,
            val entries: Int,
        )
        listOf(StopCase("one entry", entries = 1), StopCase("three entries", entries = 3)).forEach { case ->
            test("a workspace is admitted one burst around a planned stop of ${case.name}") {
                val target = FakeTarget(vertx, "t1", events = 1, pauseMilliseconds = 1).start()
                val rate = Rate(perSecond = RATE, burst = BURST)
                val deployment = FakeDeployment(vertx, listOf(target), rate = rate).also { it.prepare() }
                val clock = TimeSource.Monotonic.markNow()
                var admitted = 0

                suspend fun send(
                    entry: StartedDaemon,
                    number: Int,
                ): Int? =
                    withContext(Dispatchers.IO) {
                        RawCaller.send(entry.port, "/streams/1", "request-$number")?.status
                    }.also { if (it == 200) admitted++ }

                suspend fun start(name: String): StartedDaemon =
                    deployment.start(name, "entry").also {
                        // A process refuses requests until it knows the configuration and the targets.
                        eventually(10.seconds) { (send(it, 0) in setOf(200, 429)) shouldBe true }
                    }
                for (generation in listOf("before", "after")) {
                    val entries = List(case.entries) { start("$generation-$it") }
                    entries.forEach { entry -> repeat(BURST) { send(entry, it) } }
                    coroutineScope { entries.map { async { it.daemon.drainAndStop() } }.awaitAll() }
                }
                val elapsed = clock.elapsedNow().inWholeMilliseconds / MILLISECONDS
                admitted shouldBeLessThanOrEqual (BURST + RATE * elapsed).toInt() + 1
            }
        }
    }) {
    private companion object {
        const val RATE = 1.0
        const val BURST = 40
        const val MILLISECONDS = 1_000.0
    }
}
