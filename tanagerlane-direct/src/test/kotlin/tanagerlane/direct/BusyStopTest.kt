package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/** Guards against a stop whose time counts only from the moment at which a busy process notices it. */
class BusyStopTest :
    FunSpec({
        val vertx = Vertx.vertx(VertxOptions().setEventLoopPoolSize(1))
        val targetVertx = Vertx.vertx()
        afterSpec { listOf(vertx, targetVertx).forEach { it.close().coAwait() } }

        test("a process that is busy when it is told to stop answers open requests within its stop time") {
            val target = FakeTarget(targetVertx, "t1").start()
            val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
            val started = deployment.start("entry-1", "entry", stopTime = STOP_TIME)

            fun send(id: String) = RawCaller.send(started.port, "/once/1", id)?.status
            withContext(Dispatchers.IO) { eventually(10.seconds) { send("first") shouldBe 200 } }
            target.isSilent = true
            coroutineScope {
                val answer = async(Dispatchers.IO) { send("open") }
                eventually(5.seconds) { ("open after 0" in target.requests) shouldBe true }
                vertx.runOnContext { Thread.sleep(BUSY_TIME.inWholeMilliseconds) }
                measureTime { started.daemon.drainAndStop() } shouldBeLessThan STOP_TIME
                answer.await() shouldBe 504
            }
        }
    }) {
    private companion object {
        val STOP_TIME = 4.seconds
        val BUSY_TIME = 2.seconds
    }
}
