package tanagerlane.direct

import com.github.michaelbull.result.fold
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.withContext
import tanagerlane.model.FailureDomain
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.runtime.MonotonicClock
import kotlin.time.Duration.Companion.seconds

class TargetClientTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val clock = MonotonicClock()
        var reply: (NetSocket) -> Unit = {}
        var connections = 0
        val server =
            vertx.createNetServer().connectHandler { socket ->
                connections++
                socket.handler { if (it.toString().endsWith("body")) reply(socket) }
            }
        var port = 0
        beforeSpec { port = server.listen(0, "127.0.0.1").coAwait().actualPort() }
        beforeTest { connections = 0 }
        afterSpec { vertx.close().coAwait() }

        fun target(at: Int) =
            DirectTarget(TargetName("i-1"), ServiceName("s"), "127.0.0.1:$at", FailureDomain("a"), places = 8)

        fun request(id: String) =
            TargetRequest(id, HttpMethod.POST, "/p", MultiMap.caseInsensitiveMultiMap(), Buffer.buffer("body"))

        /** Returns the status and body of the answer, or the class name of the fault. */
        suspend fun TargetClient.outcome(
            id: String = "r1",
            at: Int = port,
        ): String =
            call(target(at), request(id), 2.seconds).fold(
                success = { answer ->
                    val body = StringBuilder()
                    while (true) {
                        val piece = answer.pieces.receiveCatching()
                        if (piece.exceptionOrNull() != null) {
                            return@fold "${answer.status} broken after $body"
                        }
                        body.append(piece.getOrNull() ?: break)
                    }
                    "${answer.status} $body"
                },
                failure = { it::class.simpleName.orEmpty() },
            )

        suspend fun outcomes(ids: List<String>): List<String> =
            withContext(vertx.dispatcher()) {
                val client = TargetClient(vertx, "Attempt-Id", clock::now)
                ids.map { client.outcome(it) }
            }

        fun whole(
            id: String = "r1",
            body: String = "ok",
        ) = "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length: 2\r\n\r\n$body"

        data class AnswerCase(
            val name: String,
            val bytes: String,
            val closes: Boolean = false,
            val expected: String,
            val connections: Int,
        )
        listOf(
            AnswerCase(
                "an answer to another request is rejected",
                whole("r0"),
                expected = "Lost",
                connections = 2,
            ),
            AnswerCase(
                "an answer without a request id is rejected",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                expected = "Lost",
                connections = 2,
            ),
            AnswerCase(
                "an answer that is cut short is reported as broken",
                "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nContent-Length: 9\r\n\r\nok",
                closes = true,
                expected = "200 broken after ok",
                connections = 2,
            ),
            AnswerCase(
                "a chunk that is cut short is reported as broken",
                "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
                closes = true,
                expected = "200 broken after ok",
                connections = 2,
            ),
            AnswerCase(
                "an answer without a length ends with its connection",
                "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\n\r\nok",
                closes = true,
                expected = "200 ok",
                connections = 2,
            ),
            AnswerCase("bytes that are not HTTP are rejected", "garbage\r\n\r\n", expected = "Lost", connections = 2),
            AnswerCase(
                "a connection that is closed at once yields no answer",
                "",
                closes = true,
                expected = "Lost",
                connections = 2,
            ),
            AnswerCase(
                "a connection is not reused after an answer with the header Connection: close",
                "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
                closes = true,
                expected = "200 ok",
                connections = 2,
            ),
        ).forEach { case ->
            test(case.name) {
                reply = { socket ->
                    socket.write(case.bytes)
                    if (case.closes) socket.end()
                }
                outcomes(listOf("r1", "r1")) shouldBe listOf(case.expected, case.expected)
                connections shouldBe case.connections
            }
        }

        test("a connection is reused for another request, but not for a retry of the same one") {
            val ids = ArrayDeque(listOf("r1", "r2", "r2"))
            reply = { socket -> socket.write(whole(ids.removeFirst())) }
            outcomes(listOf("r1", "r2", "r2")) shouldBe listOf("200 ok", "200 ok", "200 ok")
            connections shouldBe 2
        }

        test("a duplicate answer is not taken for the answer to a later request") {
            val ids = ArrayDeque(listOf("r1", "r2", "r2", "r3"))
            reply = { socket -> ids.removeFirst().let { socket.write(whole(it) + whole(it, "no")) } }
            val outcomes = outcomes(listOf("r1", "r2", "r2", "r3"))
            outcomes.first() shouldBe "200 ok"
            outcomes.filterNot { it == "200 ok" || it == "Lost" } shouldBe emptyList()
        }

        listOf(
            "127.0.0.1:0",
            "127.0.0.1:65536",
            "127.0.0.1:-1",
            "127.0.0.1:1e3",
            "127.0.0.1",
            "",
            ":1",
            "a b:1",
            "\u0000:1",
            "\uD800:1",
            "999.1.1.1:1",
            "::1:1",
            "[:1",
            "${"a".repeat(100_000)}:1",
            "${"a.".repeat(50_000)}:1",
        ).forEach { address ->
            test(
                "a call to the address '${address.take(
                    20,
                ).filter { it in ' '..'~' }}' fails as not sent and does not block the others",
            ) {
                withContext(vertx.dispatcher()) {
                    val client = TargetClient(vertx, "Attempt-Id", clock::now)
                    val begunAt = clock.now()
                    client
                        .call(target(1).copy(address = address), request("r1"), 2.seconds)
                        .fold(success = { "answer" }, failure = { it::class.simpleName }) shouldBe "NotSent"
                    (clock.now() - begunAt) shouldBeLessThan 2.seconds
                }
            }
        }

        test("a call to an address where nothing listens fails as not sent") {
            withContext(vertx.dispatcher()) {
                TargetClient(vertx, "Attempt-Id", clock::now).outcome(at = 1) shouldBe "NotSent"
            }
        }
    })
