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
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

/** Guards against a stop that loses an answer, or a refusal, because of what its caller has sent ahead. */
class SentAheadStopTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        data class Case(
            val name: String,
            val furtherBytes: Int,
        )

        listOf(
            Case("a request that was sent ahead of an unread answer is refused by a stopping entry", furtherBytes = 0),
            Case("an unread answer is not lost where more was sent ahead than a stopping entry reads", FURTHER_BYTES),
        ).forEach { case ->
            test(case.name) {
                val port =
                    vertx
                        .createHttpServer()
                        .requestHandler { request ->
                            val id = request.getHeader("Attempt-Id")
                            val response = request.response()
                            response.putHeader("Attempt-Id", id).putHeader("Server-Stamp", "t1")
                            response.end(if (id == "long") "$ANSWER_BYTE".repeat(ANSWER_BYTES) else "")
                        }.listen(0, "127.0.0.1")
                        .coAwait()
                        .actualPort()
                val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
                deployment.store.put(ObjectKey("targets/t1"), Payload.of("$port"), null)
                val started = deployment.start("entry-1", "entry", stopTime = 8.seconds)
                withContext(Dispatchers.IO) {
                    eventually(10.seconds) {
                        KeepAliveConnection(started.port).use { it.send("/calls/1", "first") } shouldBe 200
                    }
                }
                coroutineScope {
                    val received =
                        async(Dispatchers.IO) {
                            Socket().use { socket ->
                                socket.receiveBufferSize = RECEIVE_BUFFER_BYTES
                                socket.connect(InetSocketAddress("127.0.0.1", started.port))
                                socket.soTimeout = READ_TIMEOUT_MILLISECONDS
                                socket.getOutputStream().write(
                                    (head("long") + head("ahead") + "x".repeat(case.furtherBytes)).toByteArray(),
                                )
                                delay(READ_DELAY)
                                socket.getInputStream().readAllBytes().decodeToString()
                            }
                        }
                    delay(STOP_DELAY)
                    started.daemon.drainAndStop()
                    val answers = received.await()
                    Regex("HTTP/1.1 (\\d+)").findAll(answers).map { it.groupValues[1] }.toList() shouldBe
                        listOf("200", "503")
                    answers.count { it == ANSWER_BYTE } shouldBe ANSWER_BYTES
                }
            }
        }
    }) {
    private companion object {
        const val READ_TIMEOUT_MILLISECONDS = 20_000
        const val RECEIVE_BUFFER_BYTES = 65_536

        /** More than the buffers of a connection hold, and less than the maximum size of an answer. */
        const val ANSWER_BYTES = 8_000_000
        const val ANSWER_BYTE = '#'

        /** More than the entry reads of what is sent ahead, and less than the buffers of the connection hold beside that. */
        const val FURTHER_BYTES = 400_000

        /** Time before the stop begins, in which the answer arrives from the target. */
        val STOP_DELAY = 2.seconds

        /** Time until the caller reads: requests are no longer accepted, but the entry's stop time is not over. */
        val READ_DELAY = 6.seconds

        fun head(id: String) =
            "POST /calls/1 HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: $id\r\nCredential: good-key\r\nContent-Length: 0\r\n\r\n"
    }
}
