package tanagerlane.direct

import com.github.michaelbull.result.fold
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import tanagerlane.model.FailureDomain
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.runtime.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A faulty target sends a refusal again, later on the same connection; nothing that has run may count as not run. */
class RepeatedRefusalTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val clock = MonotonicClock()
        var connections = 0
        var reply: (socket: NetSocket, ids: List<String>) -> Unit = { _, _ -> }
        val server =
            vertx.createNetServer().connectHandler { socket ->
                connections++
                val ids = mutableListOf<String>()
                socket.handler { bytes ->
                    val text = bytes.toString()
                    if (text.endsWith("body")) {
                        ids +=
                            ID
                                .find(text)
                                ?.groupValues
                                ?.get(1)
                                .orEmpty()
                        reply(socket, ids)
                    }
                }
            }
        var port = 0
        beforeSpec { port = server.listen(0, "127.0.0.1").coAwait().actualPort() }
        beforeTest { connections = 0 }
        afterSpec { vertx.close().coAwait() }

        /** Returns the status of the answer, or the class name of the fault. */
        suspend fun TargetClient.outcome(id: String): String {
            val target =
                DirectTarget(TargetName("i-1"), ServiceName("s"), "127.0.0.1:$port", FailureDomain("a"), places = 8)
            val headers = MultiMap.caseInsensitiveMultiMap().add("Attempt-Id", id)
            return call(target, TargetRequest(id, HttpMethod.POST, "/p", headers, Buffer.buffer("body")), 1.seconds)
                .fold(
                    success = { answer ->
                        var piece = answer.pieces.receiveCatching()
                        while (piece.isSuccess) piece = answer.pieces.receiveCatching()
                        answer.close()
                        answer.status.toString()
                    },
                    failure = { it::class.simpleName.orEmpty() },
                )
        }

        suspend fun outcomes(
            ids: List<String>,
            pause: Duration = Duration.ZERO,
        ): List<String> =
            withContext(vertx.dispatcher()) {
                val client = TargetClient(vertx, "Attempt-Id", clock::now)
                ids.map { id -> client.outcome(id).also { if (pause > Duration.ZERO) delay(pause) } }
            }

        listOf(
            "one other request" to listOf("r2"),
            "many other requests" to List(100) { "other$it" },
        ).forEach { (name, others) ->
            test("a refusal repeated after $name is not taken for the answer to a retry that runs") {
                var runs = 0
                reply = { socket, ids ->
                    val id = ids.last()
                    when {
                        id != "r1" -> {
                            socket.write(success(id))
                        }

                        runs++ == 0 -> {
                            socket.write(refusal(id))
                        }

                        else -> {
                            if (ids.count { it == "r1" } > 1) socket.write(refusal(id))
                            socket.write(success(id))
                        }
                    }
                }
                outcomes(listOf("r1") + others + "r1") shouldBe listOf("503") + others.map { "200" } + "200"
            }
        }

        data class ExtraBytesCase(
            val name: String,
            val extra: String,
            val pause: Duration = Duration.ZERO,
            val expected: Set<String>,
        )
        listOf(
            ExtraBytesCase("a whole refusal", refusal("r1"), expected = setOf("200", "Lost")),
            ExtraBytesCase("a whole refusal, then a pause", refusal("r1"), 50.milliseconds, expected = setOf("200")),
            ExtraBytesCase("a refusal without an id", REFUSAL_START + REFUSAL_END, expected = setOf("200", "Lost")),
            ExtraBytesCase("the first headers of a refusal", REFUSAL_START, expected = setOf("200", "Lost")),
            ExtraBytesCase(
                "the first headers of a refusal, then a pause",
                REFUSAL_START,
                50.milliseconds,
                expected = setOf("200", "Lost"),
            ),
        ).forEach { case ->
            test("${case.name} after a refusal does not count as the answer to the next request") {
                reply = { socket, ids ->
                    val id = ids.last()
                    if (id == "r1") socket.write(refusal(id) + case.extra) else socket.write(success(id))
                }
                val (first, second) = outcomes(listOf("r1", "r2"), case.pause)
                first shouldBe "503"
                second shouldBeIn case.expected
            }
        }

        listOf(
            "a refusal" to "${REFUSAL_START}X-Cause: ",
            "a refusal, within a value" to "${REFUSAL_START}X-Cause: fu",
            "a refusal, after a whole header" to REFUSAL_START,
            "a refusal, within a name" to "${REFUSAL_START}X-Cau",
            "a refusal, within the id" to "${REFUSAL_START}Attempt-Id: r",
            "a refusal, within the status line" to "HTTP/1.1 421 Misdirected",
            "a success" to "HTTP/1.1 200 OK\r\nX-Cause: ",
        ).forEach { (name, extra) ->
            listOf(Duration.ZERO, 50.milliseconds).forEach { pause ->
                test(
                    "$name that ends early is not joined with the answer to the next request, pause $pause",
                ) {
                    reply = { socket, ids ->
                        val id = ids.last()
                        socket.write(if (id == "r1") success(id) + extra else failure(id))
                    }
                    outcomes(listOf("r1", "r2"), pause) shouldBe listOf("200", "Lost")
                }
            }
        }

        test("a refusal without an id does not count as not run") {
            reply = { socket, _ -> socket.write(REFUSAL_START + REFUSAL_END) }
            outcomes(listOf("r1")) shouldBe listOf("Lost")
        }

        test("a connection whose target answers a refused request again is not reused for it") {
            reply = { socket, ids ->
                val id = ids.last()
                socket.write(if (ids.size == 1 && connections == 1) refusal(id) + success(id) else success(id))
            }
            outcomes(listOf("r1", "r1")) shouldBe listOf("503", "200")
            connections shouldBe 2
        }
        test("a connection is closed once it has sent as many requests as it can remember") {
            reply = { socket, ids -> socket.write(success(ids.last())) }
            val ids = List(SentRequests.MAXIMUM + 1) { "r$it" }
            outcomes(ids).toSet() shouldBe setOf("200")
            connections shouldBe 2
        }

        test("connections that sent the same request stay open for others") {
            reply = { socket, ids -> socket.write(if (ids.last() == "r1") refusal("r1") else success(ids.last())) }
            outcomes(listOf("r1", "r2", "r1", "r3", "r4")) shouldBe listOf("503", "200", "503", "200", "200")
            connections shouldBe 2
        }
    }) {
    private companion object {
        val ID = Regex("attempt-id: (\\w+)", RegexOption.IGNORE_CASE)
        const val REFUSAL_START = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
        const val REFUSAL_END = "Content-Length: 0\r\n\r\n"

        fun refusal(id: String) = "${REFUSAL_START}Attempt-Id: $id\r\n$REFUSAL_END"

        fun failure(id: String) = "HTTP/1.1 500 Failed\r\nAttempt-Id: $id\r\nContent-Length: 0\r\n\r\n"

        fun success(id: String) = "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length: 2\r\n\r\nok"
    }
}
