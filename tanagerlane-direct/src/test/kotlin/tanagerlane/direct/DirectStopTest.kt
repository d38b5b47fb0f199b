package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DirectStopTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        suspend fun startEntry(
            targets: List<FakeTarget>,
            stopTime: Duration,
        ): StartedDaemon {
            targets.forEach { it.start() }
            val deployment = FakeDeployment(vertx, targets).also { it.prepare() }
            val started = deployment.start("entry-1", "entry", stopTime = stopTime)
            withContext(Dispatchers.IO) {
                eventually(10.seconds) {
                    KeepAliveConnection(started.port).use { it.send("/ready", "first") } shouldBe 200
                }
            }
            return started
        }

        /** Opens connections before the stop; from the stop on, sends one request on each, every [SEND_INTERVAL]. */
        suspend fun requestsWhileStopping(started: StartedDaemon): Map<String, Int?> =
            coroutineScope {
                val connections =
                    List(KEPT_CONNECTIONS) { KeepAliveConnection(started.port).apply { send("/ready", "kept") } }
                val answers =
                    connections.mapIndexed { index, connection ->
                        async(Dispatchers.IO) {
                            delay(SEND_INTERVAL * index)
                            "stop-$index" to connection.use { it.send("/streams/1", "stop-$index") }
                        }
                    }
                started.daemon.drainAndStop()
                answers.awaitAll().toMap()
            }

        test("a request on a kept-alive connection of a stopping entry is answered completely or not forwarded") {
            val targets = List(4) { FakeTarget(vertx, "t$it", pauseMilliseconds = 60) }
            val answers = requestsWhileStopping(startEntry(targets, stopTime = 8.seconds))
            val forwarded = targets.flatMap { it.requests }.map { it.substringBefore(' ') }.toSet()
            answers.filterKeys { it in forwarded }.filterValues { it != 200 } shouldBe emptyMap()
            answers.filterKeys { it !in forwarded }.values.toSet() - setOf(503, null) shouldBe emptySet()
            forwarded.size shouldBeInRange 1..<KEPT_CONNECTIONS
        }

        test("a connection opened once a stopping entry refuses requests stays open until its request is refused") {
            val target = FakeTarget(vertx, "t1", events = 60, pauseMilliseconds = 100)
            val started = startEntry(listOf(target), stopTime = 8.seconds)
            val answer =
                coroutineScope {
                    launch(Dispatchers.IO) { KeepAliveConnection(started.port).use { it.send("/streams/1", "long") } }
                    eventually(5.seconds) { ("long after 0" in target.requests) shouldBe true }
                    launch { started.daemon.drainAndStop() }
                    withContext(Dispatchers.IO) {
                        delay(REFUSAL_DELAY)
                        KeepAliveConnection(started.port).use { connection ->
                            delay(SEND_INTERVAL)
                            connection.send("/streams/1", "late")
                        }
                    }
                }
            answer shouldBe 503
            target.requests.filter { it.startsWith("late") } shouldBe emptyList()
        }

        test(
            "a request still open when the stop time of its entry runs out is answered before the connection is closed",
        ) {
            val target = FakeTarget(vertx, "t1")
            val started = startEntry(listOf(target), stopTime = 4.seconds)
            target.isSilent = true
            val answer =
                coroutineScope {
                    val sent =
                        async(Dispatchers.IO) { KeepAliveConnection(started.port).use { it.send("/once/1", "open") } }
                    eventually(5.seconds) { ("open after 0" in target.requests) shouldBe true }
                    started.daemon.drainAndStop()
                    sent.await()
                }
            answer shouldBe 504
        }
    }) {
    private companion object {
        const val KEPT_CONNECTIONS = 80

        /** Time after the stop signal at which requests are no longer accepted. */
        val REFUSAL_DELAY = 3.seconds
        val SEND_INTERVAL = 100.milliseconds
    }
}
