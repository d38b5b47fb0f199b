package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import tanagerlane.model.FailureDomain
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.runtime.MonotonicClock
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class CrashChecksTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val start = Instant.fromEpochSeconds(1_000_000)
        afterSpec { vertx.close().coAwait() }

        /** Returns the outcomes of checks of a target at [port] that begin at each of [times], in milliseconds. */
        suspend fun check(
            port: Int,
            times: List<Int>,
        ): List<Boolean> =
            withContext(vertx.dispatcher()) {
                coroutineScope {
                    val checks = CrashChecks(TargetClient(vertx, "Attempt-Id", MonotonicClock()::now), this)
                    val target =
                        DirectTarget(
                            TargetName("t1"),
                            ServiceName("s"),
                            "127.0.0.1:$port",
                            FailureDomain("a"),
                            places = 8,
                        )
                    times.map { checks.check(target, start + it.milliseconds) }.awaitAll()
                }
            }

        data class Case(
            val name: String,
            val times: List<Int>,
            val connections: Int,
        )
        listOf(
            Case("requests that are lost together share one check", listOf(0, 0, 1, 2, 5, 9, 15, 19), connections = 3),
            Case("a request that is lost later is checked on its own", listOf(0, 20), connections = 6),
        ).forEach { case ->
            test(case.name) {
                val connections = AtomicInteger()
                val server = vertx.createNetServer().connectHandler { connections.incrementAndGet() }
                val port = server.listen(0, "127.0.0.1").coAwait().actualPort()
                check(port, case.times) shouldBe case.times.map { false }
                eventually(1.seconds) { connections.get() shouldBe case.connections }
                server.close().coAwait()
            }
        }

        test("a target that refuses connections has crashed") {
            val server = vertx.createNetServer().connectHandler { }
            val port = server.listen(0, "127.0.0.1").coAwait().actualPort()
            server.close().coAwait()
            check(port, listOf(0, 1, 30)) shouldBe listOf(true, true, true)
        }
    })
