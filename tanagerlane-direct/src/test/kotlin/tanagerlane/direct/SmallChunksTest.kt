package tanagerlane.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.LastHttpContent
import tanagerlane.callers.CallerBudget
import tanagerlane.callers.ConnectionLimits
import kotlin.time.Instant

/** Guards against bodies of tiny chunks that occupy the event loop, so that ordinary requests are refused. */
class SmallChunksTest :
    FunSpec({
        data class Row(
            val name: String,
            val reads: List<String>,
            val pieces: List<String>,
        )

        fun chunk(text: String) = "${text.length.toString(radix = 16)}\r\n$text\r\n"
        val large = "l".repeat(1_000)
        val rows =
            listOf(
                Row("one read", listOf(chunk("x").repeat(600)), listOf("x".repeat(600))),
                Row("two reads", List(2) { chunk("x").repeat(3) }, listOf("xxx", "xxx")),
                Row("a chunk that is cut", listOf(chunk("a") + "2\r\nb", "c\r\n"), listOf("ab", "c")),
                Row(
                    "a large chunk in between",
                    listOf(chunk("a") + chunk(large) + chunk("b")),
                    listOf("a", large, "b"),
                ),
                Row("the end of the body", listOf(chunk("a") + chunk("b") + "0\r\n\r\n"), listOf("ab", "")),
            )
        for (row in rows) {
            test("small chunks that are read at once are passed on as one: ${row.name}") {
                val now = Instant.fromEpochSeconds(0)
                val gate = CallerGate({ ConnectionLimits.of(null) }, CallerBudget(1_000_000), { now }, { _, _ -> }, {})
                val channel = EmbeddedChannel(gate, HttpServerCodec(), CallerMessages(gate))

                fun read(text: String) = channel.writeInbound(Unpooled.copiedBuffer(text.toByteArray()))
                read("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
                gate.admitBody()
                row.reads.forEach { read(it) }
                val messages = generateSequence { channel.readInbound<Any>() }.toList()
                (messages.first() is HttpRequest) shouldBe true
                val contents = messages.drop(1).map { it as HttpContent }
                contents.map { it.content().toString(Charsets.US_ASCII) } shouldBe row.pieces
                contents.any { it is LastHttpContent } shouldBe row.reads.last().endsWith("0\r\n\r\n")
                gate.body.keptBytes shouldBe row.pieces.sumOf { it.length }.toLong()
                contents.forEach { it.release() }
                channel.finishAndReleaseAll()
            }
        }
    })
