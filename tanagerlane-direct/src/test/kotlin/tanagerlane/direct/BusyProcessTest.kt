package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A process whose event loop is busy for longer than callers may wait. */
class BusyProcessTest :
    FunSpec({
        val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
        val targets = ScriptedTargets()
        afterSpec {
            vertx.close().coAwait()
            targets.close()
        }

        test("a process that is short of its processor refuses new requests as not run, and serves again afterwards") {
            val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
            targets.register(deployment)
            val port = deployment.start("entry-1", "entry").port

            suspend fun send(id: String): Int? {
                targets.script(id) { _, request -> ScriptedTargets.rest(request) }
                return withContext(Dispatchers.IO) { RawCaller.send(port, "/streams/1", id, body = "")?.status }
            }
            eventually(10.seconds) { send("first") shouldBe 200 }
            val timer = vertx.setPeriodic(1) { Thread.sleep(BUSY_TIME.inWholeMilliseconds) }
            delay(BUSY_TIME * 3)
            val statuses =
                coroutineScope {
                    List(8) { async { send("busy-$it") } }.awaitAll()
                }
            vertx.cancelTimer(timer)
            statuses shouldBe List(8) { 503 }
            List(8) { targets.requests("busy-$it").size } shouldBe List(8) { 0 }
            eventually(5.seconds) { send("last") shouldBe 200 }
        }
    }) {
    private companion object {
        /** Longer than the share of the objective for which a request may wait for the processor. */
        val BUSY_TIME = 600.milliseconds
    }
}
