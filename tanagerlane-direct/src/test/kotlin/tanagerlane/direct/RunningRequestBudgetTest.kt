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
import tanagerlane.model.Payload
import tanagerlane.store.ObjectKey
import java.net.Socket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against ending a connection, to make room for another, whose caller waits for the answer of a target. */
class RunningRequestBudgetTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        test("a request that runs at a target is answered although the bytes of another find no room") {
            val targetPort =
                vertx
                    .createHttpServer()
                    .requestHandler { request ->
                        val id = request.getHeader("Attempt-Id")
                        val response = request.response().putHeader("Attempt-Id", id).putHeader("Server-Stamp", "t1")
                        if (id == "running") vertx.setTimer(ANSWER_MILLISECONDS) { response.end() } else response.end()
                    }.listen(0, "127.0.0.1")
                    .coAwait()
                    .actualPort()
            val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
            deployment.store.put(ObjectKey("targets/t1"), Payload.of("$targetPort"), null)
            val port = deployment.start("entry-1", "entry", furtherSettings = "callerBudgetBytes = 65536").port

            suspend fun send(
                id: String,
                bodyBytes: Int,
            ): Int? {
                val body = "b".repeat(bodyBytes)
                return withContext(Dispatchers.IO) { RawCaller.send(port, "/once/1", id, body = body)?.status }
            }
            eventually(10.seconds) { send("first", 0) shouldBe 200 }
            coroutineScope {
                val running = async { send("running", 15_000) }
                // A connection without progress for half a second counts as stalled.
                delay(800.milliseconds)
                listOf(send("next", 20_000), running.await()) shouldBe listOf(503, 200)
            }
        }

        test("a request that ran for long is answered, and a body that has stalled makes room for its answer") {
            val targetPort =
                vertx
                    .createHttpServer()
                    .requestHandler { request ->
                        val id = request.getHeader("Attempt-Id")
                        val response = request.response().putHeader("Attempt-Id", id).putHeader("Server-Stamp", "t1")
                        val answer = if (id == "running") "a".repeat(45_000) else ""
                        vertx.setTimer(if (id == "running") ANSWER_MILLISECONDS else 1) { response.end(answer) }
                    }.listen(0, "127.0.0.1")
                    .coAwait()
                    .actualPort()
            val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
            deployment.store.put(ObjectKey("targets/t1"), Payload.of("$targetPort"), null)
            val port = deployment.start("entry-1", "entry", furtherSettings = "callerBudgetBytes = 65536").port

            suspend fun send(id: String) = withContext(Dispatchers.IO) { RawCaller.send(port, "/unsafe/1", id)?.status }
            eventually(10.seconds) { send("first") shouldBe 200 }
            coroutineScope {
                val running = async { send("running") }
                withContext(Dispatchers.IO) { Socket("127.0.0.1", port) }.use { stalled ->
                    val head =
                        "POST /unsafe/1 HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: stalled\r\n" +
                            "Credential: good-key\r\n"
                    val body = "b".repeat(10_000)
                    withContext(Dispatchers.IO) {
                        stalled.getOutputStream().write("${head}Content-Length: 20000\r\n\r\n$body".toByteArray())
                    }
                    running.await() shouldBe 200
                }
            }
        }
    }) {
    private companion object {
        const val ANSWER_MILLISECONDS = 2_000L
    }
}
