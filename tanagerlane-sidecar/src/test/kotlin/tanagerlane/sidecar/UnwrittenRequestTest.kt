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
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Answers of targets that read the head of a request only, so that its body is still being written. */
class UnwrittenRequestTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        /** Sends [answer] on the first connection and resets or closes it; returns the base URL. */
        fun target(
            answer: String,
            isReset: Boolean,
        ): String {
            val server = ServerSocket()
            server.receiveBufferSize = RECEIVE_BUFFER_BYTES
            server.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            thread(isDaemon = true) {
                server.accept().use { socket ->
                    readHead(socket)
                    socket.getOutputStream().write(answer.toByteArray())
                    if (isReset) {
                        // A reset discards what the receiver has not read yet.
                        Thread.sleep(TIME_TO_READ_MILLISECONDS)
                        socket.setSoLinger(true, 0)
                    }
                }
                server.close()
            }
            return "http://127.0.0.1:${server.localPort}"
        }

        /** Returns how the call ends, and the body unless it broke off. */
        suspend fun outcome(
            answer: String,
            isReset: Boolean,
            size: Int = LONG_BODY_BYTES,
        ): String {
            var received = ""
            var outcome = "nothing"
            val sink =
                AnswerSink(
                    begin = { true },
                    head = { status, _ -> received += "$status " },
                    bytes = { received += it.toText() },
                    end = { outcome = received },
                    fail = { runState, reason -> outcome = "$runState $reason" },
                )
            withContext(Dispatchers.Default) { TargetClient(vertx, target(answer, isReset)).run(offer(size), sink) }
            return outcome
        }

        data class Case(
            val name: String,
            val answer: String,
            val outcome: String,
        )
        val broken = "${RunState.UNKNOWN} ${RefusalReason.TARGET_FAILED}"
        val event = "data: a\n\n"
        val stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        listOf(
            Case("a stream without a length", "$stream\r\n$event", broken),
            Case("a body without a length", "HTTP/1.1 200 OK\r\n\r\npart", broken),
            Case("a body with a length", "HTTP/1.1 413 Too Long\r\nContent-Length: 4\r\n\r\nlong", "413 long"),
            Case(
                "a stream in whole chunks",
                "${stream}Transfer-Encoding: chunked\r\n\r\n9\r\n$event\r\n0\r\n\r\n",
                "200 $event",
            ),
        ).forEach { case ->
            test("${case.name} whose connection is reset while the request is written ends with ${case.outcome}") {
                outcome(case.answer, isReset = true) shouldBe case.outcome
            }
        }

        listOf(500_000, 3_000_000, LONG_BODY_BYTES).forEach { size ->
            test("a body without a length is not whole if its connection is closed before $size bytes are written") {
                outcome("HTTP/1.1 200 OK\r\n\r\npart", isReset = false, size) shouldBe broken
            }
        }
    }) {
    private companion object {
        const val RECEIVE_BUFFER_BYTES = 8 shl 10
        const val LONG_BODY_BYTES = 7_000_000
        const val TIME_TO_READ_MILLISECONDS = 150L

        fun readHead(socket: Socket) {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
        }

        fun offer(size: Int) =
            Offer(
                attempt = AttemptId(RequestId("r1"), 1),
                workspace = WorkspaceName("crews"),
                requestClass = RequestClass.ONLINE,
                idempotent = true,
                remaining = 30.seconds,
                work = ServiceWork(ServiceName("s"), "POST", "/p", emptyList(), Payload.of("x".repeat(size))),
                expectedIncarnation = null,
            )
    }
}
