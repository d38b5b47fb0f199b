package tanagerlane.sidecar

import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import tanagerlane.message.Offer
import tanagerlane.message.ServiceWork
import tanagerlane.model.AttemptId
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestClass
import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import tanagerlane.model.ServiceName
import tanagerlane.model.WorkspaceName
import tanagerlane.sidecar.engine.EngineClient
import tanagerlane.sidecar.engine.EngineFailure
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Answers whose status is none of a final answer. */
class InvalidStatusTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        /** Answers the first request with [status]; returns the base URL. */
        fun target(status: String): String {
            val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    val head = StringBuilder()
                    while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
                    val answer = "HTTP/1.1 $status Status\r\nContent-Length: 2\r\n\r\nok"
                    socket.getOutputStream().write(answer.toByteArray())
                    socket.shutdownOutput()
                    socket.getInputStream().readAllBytes()
                }
                server.close()
            }
            return "http://127.0.0.1:${server.localPort}"
        }

        val broken = "${RunState.UNKNOWN} ${RefusalReason.TARGET_FAILED}"
        val invalid = listOf("000", "42", "99", "100", "101", "150", "199", "600", "999", "1000")
        (invalid.associateWith { broken } + listOf("200", "299", "404", "599").associateWith { "$it ok" })
            .forEach { (status, expected) ->
                test("an answer with status $status ends with $expected") {
                    var received = ""
                    var outcome = "nothing"
                    val sink =
                        AnswerSink(
                            begin = { true },
                            head = { code, _ -> received += "$code " },
                            bytes = { received += it.toText() },
                            end = { outcome = received },
                            fail = { runState, reason -> outcome = "$received$runState $reason" },
                        )
                    withContext(Dispatchers.Default) { TargetClient(vertx, target(status)).run(OFFER, sink) }
                    outcome shouldBe expected
                }
            }

        invalid.forEach { status ->
            test("an engine's status $status is no answer") {
                val result =
                    withContext(Dispatchers.Default) {
                        EngineClient(vertx, target(status)).stream(RequestId("r1"), Payload.of("{}")) { }
                    }
                result.getError() shouldBe EngineFailure.Broken
            }
        }
    }) {
    private companion object {
        val OFFER =
            Offer(
                attempt = AttemptId(RequestId("r1"), 1),
                workspace = WorkspaceName("crews"),
                requestClass = RequestClass.ONLINE,
                idempotent = true,
                remaining = 30.seconds,
                work = ServiceWork(ServiceName("s"), "POST", "/p", emptyList(), Payload.EMPTY),
                expectedIncarnation = null,
            )
    }
}
