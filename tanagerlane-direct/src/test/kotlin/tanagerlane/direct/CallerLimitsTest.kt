package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.http.HttpServerOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import tanagerlane.callers.CallerBudget
import tanagerlane.serving.CallerLimits
import java.io.InputStream
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** Guards against limits that callers within the configuration meet, and refusals that their callers can't read. */
class CallerLimitsTest :
    FunSpec({
        val vertx = Vertx.vertx()
        var port = 0
        beforeSpec {
            val limits = CallerLimits(MAXIMUM_BODY_BYTES, MAXIMUM_HEADER_BYTES, 3.seconds, idleTimeout = 1.seconds)
            val target =
                vertx
                    .createHttpServer(HttpServerOptions().setMaxHeaderSize(2 * MAXIMUM_HEADER_BYTES))
                    .requestHandler { request ->
                        val answer = request.response().putHeader("Attempt-Id", request.getHeader("Attempt-Id"))
                        request.body().onSuccess { answer.putHeader("Server-Stamp", "t1").end("${it.length()}") }
                    }.listen(0, "127.0.0.1")
                    .coAwait()
            val deployment = FakeDeployment(vertx, emptyList(), limits = limits).also { it.prepare() }
            deployment.register("t1", target.actualPort())
            val budget = CallerBudget.defaultBytes(DEPLOYED_HEAP_BYTES)
            port = deployment.start("entry-1", "entry", furtherSettings = "callerBudgetBytes = $budget").port
            withContext(Dispatchers.IO) {
                eventually(10.seconds) { RawCaller.send(port, "/calls/1", "first")?.status shouldBe 200 }
            }
        }
        afterSpec { vertx.close().coAwait() }

        fun head(
            fields: String,
            path: String = "/calls/1",
        ) = "POST $path HTTP/1.1\r\nHost: localhost\r\nAttempt-Id: a\r\nCredential: good-key\r\n$fields\r\n"

        /** Reads an answer with a declared length or with chunks, and returns its status, or null if there is none. */
        fun readStatus(input: InputStream): Int? {
            val text = StringBuilder()
            while (!text.endsWith("\r\n\r\n")) text.append(input.read().takeIf { it != -1 }?.toChar() ?: return null)
            val length = Regex("content-length: (\\d+)").find(text.toString().lowercase())
            if (length != null) {
                input.readNBytes(length.groupValues[1].toInt())
            } else {
                while (!text.endsWith("0\r\n\r\n")) {
                    text.append(input.read().takeIf { it != -1 }?.toChar() ?: return null)
                }
            }
            return text.split(' ')[1].toInt()
        }

        /** Sends [text] and returns the statuses of [count] answers; the process may refuse before all was sent. */
        suspend fun statuses(
            text: String,
            count: Int = 1,
        ): List<Int?> =
            withContext(Dispatchers.IO) {
                Socket("127.0.0.1", port).use { socket ->
                    socket.soTimeout = 15_000
                    thread(isDaemon = true) { runCatching { socket.getOutputStream().write(text.toByteArray()) } }
                    List(count) { readStatus(socket.getInputStream()) }
                }
            }

        fun body(size: Int) = "x".repeat(size)

        fun withLength(size: Int) = head("Content-Length: $size\r\n")
        val chunked = head("Transfer-Encoding: chunked\r\n")
        val headRest = head("Content-Length: 0\r\nx: \r\n").length
        val small = head("Content-Length: 0\r\n")

        listOf(
            Row(
                "a head of the maximum size",
                head("Content-Length: 0\r\nx: ${body(MAXIMUM_HEADER_BYTES - headRest)}\r\n"),
                200,
            ),
            Row("a body of the maximum size", withLength(MAXIMUM_BODY_BYTES) + body(MAXIMUM_BODY_BYTES), 200),
            Row(
                "a chunked body of the maximum size",
                chunked + "10000\r\n${body(65_536)}\r\n".repeat(64) + "0\r\n\r\n",
                200,
            ),
            Row("a body in chunks of one byte", chunked + "1\r\nx\r\n".repeat(50_000) + "0\r\n\r\n", 200),
            Row("100 fields", head("Content-Length: 0\r\n" + "a: b\r\n".repeat(100)), 200),
            Row("1,000 fields", head("Content-Length: 0\r\n" + "a: b\r\n".repeat(1_000)), 431),
            Row("a body of one byte too many", withLength(MAXIMUM_BODY_BYTES + 1) + body(MAXIMUM_BODY_BYTES + 1), 413),
            Row("a huge declared body", withLength(400_000_000) + body(8_000_000), 413),
            Row("chunks without end", chunked + "10000\r\n${body(65_536)}\r\n".repeat(200), 413),
            Row("a body without a route", head("Content-Length: 4000000\r\n", "/none/1") + body(4_000_000), 404),
            Row("a request after a refused body", head("Content-Length: 9\r\n", "/none/1") + body(9) + small, 404, 200),
            Row(
                "requests sent ahead",
                small + withLength(5) + "12345" + chunked + "1\r\nx\r\n0\r\n\r\n" + small,
                200,
                200,
                200,
                200,
            ),
        ).forEach { row ->
            test("${row.name}: ${row.statuses}") {
                statuses(row.text, row.statuses.size) shouldBe row.statuses
            }
        }

        test("a connection that was idle for four fifths of the time-out is used again") {
            withContext(Dispatchers.IO) {
                KeepAliveConnection(port).use { connection ->
                    repeat(3) { number ->
                        connection.send("/calls/1", "idle-$number") shouldBe 200
                        delay(800)
                    }
                }
            }
        }
    }) {
    /** What a caller sends, and the statuses of the answers. */
    private class Row(
        val name: String,
        val text: String,
        vararg expected: Int,
    ) {
        val statuses: List<Int> = expected.toList()
    }

    private companion object {
        const val MAXIMUM_HEADER_BYTES = 16_384
        const val MAXIMUM_BODY_BYTES = 4_194_304

        /** Heap of an entry as deployed; the default budget of this test's own heap would be larger. */
        const val DEPLOYED_HEAP_BYTES = 128L shl 20
    }
}
