package tanagerlane.sidecar

import com.github.michaelbull.result.getError
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
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
import tanagerlane.orders.FencedOrder
import tanagerlane.sidecar.engine.EngineClient
import tanagerlane.sidecar.orders.OrderClient
import tanagerlane.standin.http.EndlessTarget
import kotlin.time.Duration.Companion.seconds

class UnboundedAnswerTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        /** Each calls a target through one of the clients and returns the outcome that the client reports. */
        val callTarget: suspend (EndlessTarget) -> String = { target ->
            var bytes = 0L
            var outcome = "nothing"
            val sink =
                AnswerSink(
                    begin = { true },
                    head = { _, _ -> },
                    bytes = { bytes += it.size },
                    end = { outcome = "end" },
                    fail = { runState, reason -> outcome = "$runState $reason" },
                )
            TargetClient(vertx, target.url).run(OFFER, sink)
            bytes shouldBeLessThan MAXIMUM_SENT_BYTES
            outcome
        }
        val callEngine: suspend (EndlessTarget) -> String = { target ->
            EngineClient(vertx, target.url).stream(RequestId("r1"), Payload.EMPTY) {}.getError().toString()
        }
        val sendOrder: suspend (EndlessTarget) -> String = { target ->
            OrderClient(vertx, target.url).send(FencedOrder(1, adapter = "frost"), 4.seconds) { true }.toString()
        }

        data class Case(
            val name: String,
            val beginning: String = "",
            val rest: String,
            val call: suspend (EndlessTarget) -> String,
            val outcome: String,
        )
        val block = "x".repeat(BLOCK)
        val plainHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
        val eventStreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        val errorHead = "HTTP/1.1 500 Failed\r\n\r\n"
        val interimAnswers = "HTTP/1.1 100 Continue\r\n\r\n".repeat(BLOCK / 16)
        val unknown = "${RunState.UNKNOWN} ${RefusalReason.TARGET_FAILED}"
        listOf(
            Case("a service's answer", plainHead, block, callTarget, unknown),
            Case("one event of a service", eventStreamHead, block, callTarget, unknown),
            Case("lines of one event of a service", eventStreamHead, "data: $block\n", callTarget, unknown),
            Case("interim answers of a service", rest = interimAnswers, call = callTarget, outcome = unknown),
            Case("one event of an engine", eventStreamHead, block, callEngine, "Broken"),
            Case("lines of one event of an engine", eventStreamHead, "data: $block\n", callEngine, "Broken"),
            Case("comments of an engine", eventStreamHead, ": $block\n\n", callEngine, "Broken"),
            Case("an error answer of an engine", errorHead, block, callEngine, "Broken"),
            Case("interim answers of an engine", rest = interimAnswers, call = callEngine, outcome = "Broken"),
            Case("the answer to an order", plainHead, block, sendOrder, "Unknown"),
            Case("the refusal of an order", "HTTP/1.1 409 Conflict\r\n\r\n", block, sendOrder, "Unknown"),
        ).forEach { case ->
            test("an endless byte stream as ${case.name} ends the call") {
                val target = EndlessTarget(vertx, mostBytes = 160L shl 20).start()
                target.beginning = { case.beginning }
                target.rest = case.rest
                withContext(Dispatchers.Default) {
                    withTimeoutOrNull(10.seconds) { case.call(target) } shouldBe case.outcome
                }
                eventually(2.seconds) { target.connections.map { it.isClosed } shouldBe listOf(true) }
                target.connections.sumOf { it.bytes.get() } shouldBeLessThan MAXIMUM_SENT_BYTES
            }
        }

        test("an event of an engine that grows slowly ends the call at the time limit") {
            val target = EndlessTarget(vertx).start()
            target.beginning = { eventStreamHead }
            target.rest = "x"
            target.pauseMilliseconds = 50
            val failure =
                withContext(Dispatchers.Default) {
                    val client = EngineClient(vertx, target.url, maximumEventDuration = 1.seconds)
                    withTimeoutOrNull(5.seconds) { client.stream(RequestId("r1"), Payload.EMPTY) {}.getError() }
                }
            failure.toString() shouldBe "Broken"
            eventually(2.seconds) { target.connections.map { it.isClosed } shouldBe listOf(true) }
        }

        test("a service that sends faster than its answer is forwarded is slowed down") {
            val target = EndlessTarget(vertx).start()
            target.beginning = { eventStreamHead }
            target.rest = "data: a\n\n".repeat(BLOCK)
            withContext(Dispatchers.Default) {
                val sink =
                    AnswerSink(
                        begin = { true },
                        head = { _, _ -> },
                        bytes = { delay(10.seconds) },
                        end = {},
                        fail = { _, _ -> },
                    )
                val run = launch { TargetClient(vertx, target.url).run(OFFER, sink) }
                delay(2.seconds)
                target.connections.sumOf { it.bytes.get() } shouldBeLessThan MAXIMUM_UNREAD_BYTES
                run.cancel()
            }
            eventually(2.seconds) { target.connections.map { it.isClosed } shouldBe listOf(true) }
        }
    }) {
    private companion object {
        const val BLOCK = 4_000

        /** Maximum number of bytes in socket buffers. */
        const val MAXIMUM_UNREAD_BYTES = 24L shl 20

        /** Maximum number of bytes of a stream, plus those in socket buffers. */
        const val MAXIMUM_SENT_BYTES = 96L shl 20
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
