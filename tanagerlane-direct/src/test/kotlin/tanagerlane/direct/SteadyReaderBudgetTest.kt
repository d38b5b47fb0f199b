package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

/** Guards against a long answer that is cut for the body of another caller while its caller reads it steadily. */
class SteadyReaderBudgetTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        data class ReaderCase(
            val name: String,
            val bodyBytes: Int,
            val status: Int,
        )
        listOf(
            ReaderCase("no body", bodyBytes = 0, status = 200),
            ReaderCase("a body that finds no room", bodyBytes = 60_000, status = 503),
        ).forEach { case ->
            test("an answer that its caller reads without a pause is whole beside ${case.name}") {
                val targetPort =
                    vertx
                        .createHttpServer()
                        .requestHandler { request ->
                            val id = request.getHeader("Attempt-Id")
                            val response = request.response().putHeader("Attempt-Id", id)
                            response.putHeader("Server-Stamp", "t1")
                            val answer = if (id == "long") Buffer.buffer(ByteArray(ANSWER_BYTES)) else Buffer.buffer()
                            request.body().onSuccess { response.end(answer) }
                        }.listen(0, "127.0.0.1")
                        .coAwait()
                        .actualPort()
                val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
                deployment.register("t1", targetPort)
                val budget = "callerBudgetBytes = ${ANSWER_BYTES + 100_000}"
                val port = deployment.start("entry-1", "entry", furtherSettings = budget).port

                suspend fun send(
                    id: String,
                    bodyBytes: Int,
                ): Int? =
                    withContext(Dispatchers.IO) {
                        RawCaller.send(port, "/unsafe/1", id, body = "b".repeat(bodyBytes))?.status
                    }
                eventually(10.seconds) { send("first", 0) shouldBe 200 }
                coroutineScope {
                    val read =
                        async(Dispatchers.IO) {
                            Socket().use { socket ->
                                socket.receiveBufferSize = PIECE_BYTES
                                socket.connect(InetSocketAddress("127.0.0.1", port))
                                socket.soTimeout = 5_000
                                socket.getOutputStream().write(HEAD.toByteArray())
                                var bytes = 0
                                while (bytes < ANSWER_BYTES) {
                                    val piece = runCatching { socket.getInputStream().readNBytes(PIECE_BYTES).size }
                                    bytes += piece.getOrDefault(0).also { if (it == 0) return@async bytes }
                                    Thread.sleep(PAUSE_MILLISECONDS)
                                }
                                bytes
                            }
                        }
                    delay(3.seconds)
                    val status = send("next", case.bodyBytes)
                    val isWhole = read.await() >= ANSWER_BYTES
                    (isWhole to status) shouldBe (true to case.status)
                }
            }
        }
    }) {
    private companion object {
        const val HEAD =
            "POST /unsafe/1 HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: long\r\nCredential: good-key\r\n" +
                "Content-Length: 0\r\n\r\n"
        const val ANSWER_BYTES = 8_000_000
        const val PIECE_BYTES = 50_000
        const val PAUSE_MILLISECONDS = 50L
    }
}
