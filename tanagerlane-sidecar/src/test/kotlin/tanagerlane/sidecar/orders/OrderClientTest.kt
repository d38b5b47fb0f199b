package tanagerlane.sidecar.orders

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import tanagerlane.orders.FencedOrder
import tanagerlane.orders.OrderOutcome
import tanagerlane.orders.OrderRefusal
import tanagerlane.standin.engine.EngineOrder
import tanagerlane.standin.engine.EngineServer
import tanagerlane.standin.engine.EngineServerSettings
import tanagerlane.standin.http.TargetFaults
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class OrderClientTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val engine = EngineServer(vertx, EngineServerSettings(checksFencing = true))
        var port = 0
        beforeSpec { port = engine.start(0) }
        afterSpec { vertx.close().coAwait() }
        afterTest { engine.faults = TargetFaults() }

        suspend fun send(
            fencing: Long,
            mayWrite: Boolean = true,
        ): OrderOutcome {
            val timeout = if (engine.faults.hang) 300.milliseconds else 20.seconds
            val order = FencedOrder(fencing, adapter = "frost")
            return OrderClient(vertx, "http://127.0.0.1:$port").send(order, timeout) { mayWrite }
        }

        test("an order reaches the engine with its fencing number, and a lower number is refused") {
            send(fencing = 7) shouldBe OrderOutcome.Taken
            engine.appliedOrders shouldBe listOf(EngineOrder(fencing = 7, adapter = "frost"))
            val answer = """{"error":{"type":"stale_fencing","message":"latest fencing number is 7"}}"""
            send(fencing = 6) shouldBe OrderOutcome.Refused(OrderRefusal(status = 409, answer = answer))
        }

        test("nothing is written if the check immediately before the write fails") {
            val before = engine.calls.size
            send(fencing = 8, mayWrite = false) shouldBe OrderOutcome.NotSent
            engine.calls.size shouldBe before
        }

        for (faults in listOf(TargetFaults(hang = true), TargetFaults(reset = true), TargetFaults(fail = true))) {
            test("the outcome is unknown under $faults") {
                engine.faults = faults
                send(fencing = 9) shouldBe OrderOutcome.Unknown
            }
        }

        test("nothing is sent to an engine that can't be reached") {
            engine.stop()
            send(fencing = 10) shouldBe OrderOutcome.NotSent
        }
    })
