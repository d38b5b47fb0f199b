package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import tanagerlane.direct.EndsRow.Kind
import tanagerlane.direct.PacedCaller.Answer
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.seconds

/** Guards against ending a running request because of the bytes that its caller sends ahead of the answer. */
class SentAheadBudgetTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        data class Case(
            val kind: Kind,
            val holdsBody: Boolean,
        )

        listOf(Case(Kind.ONCE, holdsBody = false), Case(Kind.STREAM, holdsBody = true)).forEach { case ->
            test(
                "a ${case.kind} request is answered while its caller sends $AHEAD bodies ahead, body begun ${case.holdsBody}",
            ) {
                val target = HeldTarget(vertx, case.holdsBody).start()
                val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
                deployment.register("t0", target.port)
                val port = deployment.start("entry", "entry", furtherSettings = "callerBudgetBytes = 2000000").port
                val address = InetSocketAddress("127.0.0.1", port)
                eventually(10.seconds) {
                    PacedCaller(address).use {
                        it.send(Kind.SAFE.request("first", "body"))
                        it.receive()?.status shouldBe 200
                    }
                }
                PacedCaller(address).use { caller ->
                    coroutineScope {
                        caller.send(case.kind.request("held", "body"))
                        val ahead = Kind.UNKNOWN_ROUTE.request("ahead", "b".repeat(BODY_BYTES))
                        val sender = async(Dispatchers.IO) { repeat(AHEAD) { caller.send(ahead) } }
                        delay(2.seconds)
                        target.release()
                        val answers = withContext(Dispatchers.IO) { List(1 + AHEAD) { caller.receive() } }
                        answers.groupingBy { it }.eachCount() shouldBe
                            mapOf(Answer(200, isWhole = true) to 1, Answer(404, isWhole = true) to AHEAD)
                        sender.await()
                    }
                }
            }
        }
    }) {
    private companion object {
        /** Together several times as many bytes as the entry holds for all callers. */
        const val AHEAD = 120
        const val BODY_BYTES = 90_000
    }
}
