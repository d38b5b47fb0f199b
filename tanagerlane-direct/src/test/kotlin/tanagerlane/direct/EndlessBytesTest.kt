package tanagerlane.direct

import com.github.michaelbull.result.fold
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import tanagerlane.model.FailureDomain
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.runtime.MonotonicClock
import tanagerlane.standin.http.EndlessTarget
import kotlin.time.Duration.Companion.seconds

/** Targets that send endless bytes instead of an answer or after it; memory and time must stay bounded. */
class EndlessBytesTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val clock = MonotonicClock()
        afterSpec { vertx.close().coAwait() }

        fun target(at: EndlessTarget) =
            DirectTarget(TargetName("i-1"), ServiceName("s"), "127.0.0.1:${at.port}", FailureDomain("a"), places = 8)

        fun request(id: String) =
            TargetRequest(id, HttpMethod.POST, "/p", MultiMap.caseInsensitiveMultiMap(), Buffer.buffer("body"))

        data class HeadCase(
            val name: String,
            val beginning: String = "",
            val rest: String,
        )
        val block = "x".repeat(BLOCK_BYTES)
        listOf(
            HeadCase("no status line", rest = block),
            HeadCase("an endless head", "HTTP/1.1 200 OK\r\n", "$FILLER_HEADER: $block\r\n"),
            HeadCase("one endless header", "HTTP/1.1 200 OK\r\nfiller: ", block),
            HeadCase("blank lines", rest = "\r\n".repeat(BLOCK_BYTES)),
            HeadCase("control characters", rest = "\u0000".repeat(BLOCK_BYTES)),
            HeadCase("interim answers", rest = "HTTP/1.1 100 Continue\r\n\r\n".repeat(BLOCK_BYTES / 16)),
            HeadCase("early hints", rest = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n".repeat(BLOCK_BYTES / 16)),
            HeadCase(
                "unsolicited interim answers",
                rest = "HTTP/1.1 102 Processing\r\nAttempt-Id: r1\r\n\r\n".repeat(BLOCK_BYTES / 16),
            ),
        ).forEach { case ->
            test("a call fails and its connection is closed when the target sends ${case.name}") {
                val endless = EndlessTarget(vertx).start()
                endless.beginning = { case.beginning }
                endless.rest = case.rest
                val fault =
                    withContext(vertx.dispatcher()) {
                        TargetClient(vertx, "Attempt-Id", clock::now)
                            .call(target(endless), request("r1"), 5.seconds)
                            .fold(success = { "answer ${it.status}" }, failure = { it::class.simpleName })
                    }
                fault shouldBe "Lost"
                eventually(2.seconds) { endless.connections.map { it.isClosed } shouldBe listOf(true) }
                endless.connections.sumOf { it.bytes.get() } shouldBeLessThan MAXIMUM_SENT_BYTES
            }
        }

        test("an idle connection is closed although its target keeps sending bytes after the answer") {
            val endless = EndlessTarget(vertx).start()
            endless.beginning = { "HTTP/1.1 200 OK\r\nAttempt-Id: $it\r\nContent-Length: 2\r\n\r\nok" }
            endless.rest = "\r\n"
            endless.pauseMilliseconds = 20
            withContext(vertx.dispatcher()) {
                val client = TargetClient(vertx, "Attempt-Id", clock::now)
                client.call(target(endless), request("r1"), 2.seconds).fold(
                    success = { answer ->
                        answer.pieces
                            .receiveCatching()
                            .getOrNull()
                            .toString() shouldBe "ok"
                        answer.pieces.receiveCatching().isClosed shouldBe true
                    },
                    failure = { error("$it") },
                )
            }
            eventually(2.seconds) { endless.connections.map { it.isClosed } shouldBe listOf(true) }
        }

        test("a body that is not read is held back at the target") {
            val endless = EndlessTarget(vertx).start()
            endless.beginning = { "HTTP/1.1 200 OK\r\nAttempt-Id: $it\r\n\r\n" }
            endless.rest = block
            withContext(vertx.dispatcher()) {
                val client = TargetClient(vertx, "Attempt-Id", clock::now)
                val answer = client.call(target(endless), request("r1"), 2.seconds).fold({ it }, { error("$it") })
                delay(1.seconds)
                endless.connections.sumOf { it.bytes.get() } shouldBeLessThan MAXIMUM_SENT_BYTES
                answer.close()
            }
            eventually(2.seconds) { endless.connections.map { it.isClosed } shouldBe listOf(true) }
        }

        test("a body that is read late arrives completely") {
            val endless = EndlessTarget(vertx).start()
            endless.beginning = {
                "HTTP/1.1 200 OK\r\nAttempt-Id: $it\r\nContent-Length: $LATE_BODY_BYTES\r\n\r\n" +
                    "x".repeat(LATE_BODY_BYTES)
            }
            withContext(vertx.dispatcher()) {
                val client = TargetClient(vertx, "Attempt-Id", clock::now)
                val answer = client.call(target(endless), request("r1"), 2.seconds).fold({ it }, { error("$it") })
                delay(200)
                var bytes = 0
                while (true) {
                    bytes += (answer.pieces.receiveCatching().getOrNull() ?: break).length()
                }
                bytes shouldBe LATE_BODY_BYTES
                client.call(target(endless), request("r2"), 1.seconds)
            }
            endless.connections.size shouldBe 1
        }
    }) {
    private companion object {
        const val BLOCK_BYTES = 4_000
        const val FILLER_HEADER = "filler"
        const val LATE_BODY_BYTES = 4 shl 20

        /** Bytes that may be in socket buffers, besides those that the receiver holds. */
        const val MAXIMUM_SENT_BYTES = 24L shl 20
    }
}
