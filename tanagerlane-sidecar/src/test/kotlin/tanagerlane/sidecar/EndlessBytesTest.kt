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

class EndlessBytesTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        /** Calls of a target through each client, as what the caller of the client hears of it. */
        val throughTarget: suspend (EndlessTarget) -> String = { endless ->
            var bytes = 0L
            var heard = "nothing"
            val sink =
                AnswerSink(
                    begin = { true },
                    head = { _, _ -> },
                    bytes = { bytes += it.size },
                    end = { heard = "end" },
                    fail = { runState, reason -> heard = "$runState $reason" },
                )
            TargetClient(vertx, endless.url).run(OFFER, sink)
            bytes shouldBeLessThan MOST_TAKEN
            heard
        }
        val throughEngine: suspend (EndlessTarget) -> String = { endless ->
            EngineClient(vertx, endless.url).stream(RequestId("r1"), Payload.EMPTY) {}.getError().toString()
        }
        val throughOrder: suspend (EndlessTarget) -> String = { endless ->
            OrderClient(vertx, endless.url).send(FencedOrder(1, adapter = "frost"), 4.seconds) { true }.toString()
        }

        data class Case(
            val name: String,
            val beginning: String = "",
            val rest: String,
            val call: suspend (EndlessTarget) -> String,
            val heard: String,
        )
        val block = "x".repeat(BLOCK)
        val plain = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
        val events = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        val failure = "HTTP/1.1 500 Failed\r\n\r\n"
        val interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(BLOCK / 16)
        val unknown = "${RunState.UNKNOWN} ${RefusalReason.TARGET_FAILED}"
        listOf(
            Case("a service's answer", plain, block, throughTarget, unknown),
            Case("one event of a service", events, block, throughTarget, unknown),
            Case("lines of one event of a service", events, "data: $block\n", throughTarget, unknown),
            Case("interim answers of a service", rest = interim, call = throughTarget, heard = unknown),
            Case("one event of an engine", events, block, throughEngine, "Broken"),
            Case("lines of one event of an engine", events, "data: $block\n", throughEngine, "Broken"),
            Case("comments of an engine", events, ": $block\n\n", throughEngine, "Broken"),
            Case("an error answer of an engine", failure, block, throughEngine, "Broken"),
            Case("interim answers of an engine", rest = interim, call = throughEngine, heard = "Broken"),
            Case("the answer to an order", plain, block, throughOrder, "Unknown"),
            Case("the refusal of an order", "HTTP/1.1 409 Conflict\r\n\r\n", block, throughOrder, "Unknown"),
        ).forEach { case ->
            test("bytes without end as ${case.name}") {
                val endless = EndlessTarget(vertx, mostBytes = 160L shl 20).start()
                endless.beginning = { case.beginning }
                endless.rest = case.rest
                withContext(Dispatchers.Default) {
                    withTimeoutOrNull(10.seconds) { case.call(endless) } shouldBe case.heard
                }
                eventually(2.seconds) { endless.connections.map { it.isClosed } shouldBe listOf(true) }
                endless.connections.sumOf { it.bytes.get() } shouldBeLessThan MOST_TAKEN
            }
        }

        test("an event of an engine that grows by a byte now and then") {
            val endless = EndlessTarget(vertx).start()
            endless.beginning = { events }
            endless.rest = "x"
            endless.pauseMilliseconds = 50
            val ended =
                withContext(Dispatchers.Default) {
                    val client = EngineClient(vertx, endless.url, longestEvent = 1.seconds)
                    withTimeoutOrNull(5.seconds) { client.stream(RequestId("r1"), Payload.EMPTY) {}.getError() }
                }
            ended.toString() shouldBe "Broken"
            eventually(2.seconds) { endless.connections.map { it.isClosed } shouldBe listOf(true) }
        }

        test("what a service sends faster than it is passed on stays with the service") {
            val endless = EndlessTarget(vertx).start()
            endless.beginning = { events }
            endless.rest = "data: a\n\n".repeat(BLOCK)
            withContext(Dispatchers.Default) {
                val sink =
                    AnswerSink(
                        begin = { true },
                        head = { _, _ -> },
                        bytes = { delay(10.seconds) },
                        end = {},
                        fail = { _, _ -> },
                    )
                val run = launch { TargetClient(vertx, endless.url).run(OFFER, sink) }
                delay(2.seconds)
                endless.connections.sumOf { it.bytes.get() } shouldBeLessThan MOST_UNREAD
                run.cancel()
            }
            eventually(2.seconds) { endless.connections.map { it.isClosed } shouldBe listOf(true) }
        }
    }) {
    private companion object {
        const val BLOCK = 4_000

        /** Bytes that may be under way in sockets. */
        const val MOST_UNREAD = 24L shl 20

        /** The most bytes of a stream and those that may be under way in sockets. */
        const val MOST_TAKEN = 96L shl 20
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
