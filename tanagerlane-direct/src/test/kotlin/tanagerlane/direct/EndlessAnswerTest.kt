package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/** Requests whose first target sends an endless answer; targets tried afterwards answer correctly. */
class EndlessAnswerTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val client = HttpClient.newHttpClient()
        afterSpec { vertx.close().coAwait() }

        /** Blocks an IO thread, because the test itself may run in the event loop that has to answer. */
        suspend fun send(
            port: Int,
            method: String,
            path: String,
            id: String,
            body: String = "",
        ): HttpResponse<String> {
            val request =
                HttpRequest
                    .newBuilder(URI("http://localhost:$port$path"))
                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                    .header("Attempt-Id", id)
                    .header("Credential", "good-key")
                    .timeout(Duration.ofSeconds(20))
            return withContext(Dispatchers.IO) { client.send(request.build(), HttpResponse.BodyHandlers.ofString()) }
        }

        /** Returns two targets; the first [times] requests with [id], at either of them, get an endless answer. */
        suspend fun targets(
            id: String,
            piece: FakeTarget.EndlessPiece,
            times: Int = 1,
        ): List<FakeTarget> {
            val remaining = AtomicInteger(times)
            return List(2) { FakeTarget(vertx, "t${it + 1}").start() }.onEach { target ->
                target.endless = { requestId -> piece.takeIf { requestId == id && remaining.getAndDecrement() > 0 } }
            }
        }

        suspend fun startEntry(targets: List<FakeTarget>): Pair<FakeDeployment, Int> {
            val deployment = FakeDeployment(vertx, targets).also { it.prepare() }
            val port = deployment.start("entry-1", "entry").port
            eventually(10.seconds) { send(port, "GET", "/ready", "r").statusCode() shouldBe 200 }
            return deployment to port
        }

        suspend fun shouldBeClosedWithBoundedBytes(
            targets: List<FakeTarget>,
            answers: Int,
        ) {
            val endless = targets.flatMap { it.endlessAnswers }
            eventually(2.seconds) { endless.map { it.isClosed } shouldBe List(answers) { true } }
            endless.maxOf { it.bytes.get() } shouldBeLessThan MAXIMUM_SENT_BYTES
        }

        val events = (1..10).joinToString("") { "id: $it\ndata: event $it\n\n" }
        val fast = FakeTarget.EndlessPiece("x".repeat(BLOCK_BYTES))
        val lines = FakeTarget.EndlessPiece(("data: " + "x".repeat(BLOCK_BYTES) + "\n"))
        val slow = FakeTarget.EndlessPiece("x", pauseMilliseconds = 50)

        data class OnlineCase(
            val name: String,
            val path: String,
            val piece: FakeTarget.EndlessPiece,
            val status: Int = 200,
            val body: String = events,
            val requests: Int = 2,
        )
        listOf(
            OnlineCase("a call with an endless answer", "/calls/1", fast),
            OnlineCase("a stream with an endless first event", "/streams/1", fast),
            OnlineCase("a stream whose first event has endless lines", "/streams/1", lines),
            OnlineCase("a stream with an endless first event that arrives slowly", "/streams/1", slow),
            OnlineCase(
                "an endless stream that may not be repeated",
                "/once/1",
                fast,
                status = 502,
                body = "",
                requests = 1,
            ),
        ).forEach { case ->
            test("${case.name} is closed at its target and answered according to its route") {
                val targets = targets("a1", case.piece)
                val (_, port) = startEntry(targets)
                val answer = send(port, "POST", case.path, "a1")
                answer.statusCode() shouldBe case.status
                answer.body() shouldBe case.body
                targets.sumOf { it.requests.size } shouldBe case.requests
                shouldBeClosedWithBoundedBytes(targets, answers = 1)
            }
        }

        test("an answer of several MB is forwarded completely") {
            val target = FakeTarget(vertx, "t1", events = 4, eventFill = 500_000).start()
            val (_, port) = startEntry(listOf(target))
            listOf("/calls/1", "/streams/1").map { path -> send(port, "POST", path, "b$path").body().length } shouldBe
                List(2) { (1..4).sumOf { "id: $it\ndata: event $it\n\n".length + 500_000 } }
        }

        data class ItemCase(
            val name: String,
            val piece: FakeTarget.EndlessPiece,
        )
        listOf(
            ItemCase("fast", fast),
            ItemCase("in lines", lines),
            ItemCase("slowly", slow),
        ).forEach { case ->
            test("an item whose first event is endless (${case.name}) is completed at another target") {
                val targets = targets("i1", case.piece)
                val (deployment, port) = startEntry(targets)
                deployment.start("batch-1", "batch")
                send(port, "POST", "/jobs/x", "night", "i1").statusCode() shouldBe 202
                eventually(12.seconds) {
                    send(port, "GET", "/results/night", "r").body() shouldBe "i1 COMPLETED 10\n1 of 1"
                }
                shouldBeClosedWithBoundedBytes(targets, answers = 1)
            }
        }

        test("an item with endless events is abandoned after its attempts, with a bounded number of bytes") {
            val targets = targets("i1", FakeTarget.EndlessPiece("data: ${"x".repeat(BLOCK_BYTES)}\n\n"), times = 100)
            val (deployment, port) = startEntry(targets)
            deployment.start("batch-1", "batch")
            send(port, "POST", "/jobs/x", "night", "i1").statusCode() shouldBe 202
            eventually(20.seconds) { send(port, "GET", "/results/night", "r").body() shouldBe "i1 ABANDONED 1\n1 of 1" }
            val answers = targets.sumOf { it.endlessAnswers.size }
            shouldBeClosedWithBoundedBytes(targets, answers)
        }
    }) {
    private companion object {
        const val BLOCK_BYTES = 4_000

        /** Bytes that may be in socket buffers, besides those that the receiver holds. */
        const val MAXIMUM_SENT_BYTES = 24L shl 20
    }
}
