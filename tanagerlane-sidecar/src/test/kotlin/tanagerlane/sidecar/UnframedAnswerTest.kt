package tanagerlane.sidecar

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
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Answers with neither a length nor chunks, which end with their connection. */
class UnframedAnswerTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        /** Sends [text] on the first connection and ends it; returns the base URL. */
        fun target(
            text: String,
            isReset: Boolean,
        ): String {
            val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    socket.getInputStream().read()
                    socket.getOutputStream().write(text.toByteArray())
                    // A reset discards what the receiver has not read yet, and so does a close before the request was read.
                    Thread.sleep(TIME_TO_READ_MILLISECONDS)
                    socket.getInputStream().readNBytes(socket.getInputStream().available())
                    if (isReset) socket.setSoLinger(true, 0)
                }
                server.close()
            }
            return "http://127.0.0.1:${server.localPort}"
        }

        data class Case(
            val name: String,
            val head: String,
            val body: String,
            val isReset: Boolean,
            val outcome: String,
        )
        val stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        val event = "data: a\n\n"
        val broken = "${RunState.UNKNOWN} ${RefusalReason.TARGET_FAILED}"
        listOf(
            Case("a stream closed between events", stream, event, isReset = false, "end"),
            Case("a stream closed inside an event", stream, event + "da", isReset = false, broken),
            Case("a stream reset between events", stream, event, isReset = true, broken),
            Case("a body closed at its end", "HTTP/1.1 200 OK\r\n", "text", isReset = false, "end"),
            Case("a body that is reset", "HTTP/1.1 200 OK\r\n", "text", isReset = true, broken),
        ).forEach { case ->
            test("${case.name} ends with ${case.outcome}") {
                var received = ""
                var outcome = "nothing"
                val sink =
                    AnswerSink(
                        begin = { true },
                        head = { _, _ -> },
                        bytes = { received += it.toText() },
                        end = { outcome = "end" },
                        fail = { runState, reason -> outcome = "$runState $reason" },
                    )
                withContext(Dispatchers.Default) {
                    TargetClient(vertx, target("${case.head}\r\n${case.body}", case.isReset)).run(OFFER, sink)
                }
                received shouldBe case.body
                outcome shouldBe case.outcome
            }
        }
    }) {
    private companion object {
        const val TIME_TO_READ_MILLISECONDS = 150L

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
