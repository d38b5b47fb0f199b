package tanagerlane.sidecar.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class EventParserTest :
    FunSpec({
        listOf("\n", "\r\n").forEach { lineEnd ->
            test("events are the same wherever the bytes are cut, line end ${lineEnd.length}") {
                val lines =
                    listOf(": comment", "data: one é", "", "event: x", "data:two", "data: three", "", "data: cut off")
                val bytes = lines.joinToString(lineEnd).encodeToByteArray()
                bytes.indices.forEach { cut ->
                    val parser = EventParser()
                    val events = parser.accept(bytes.copyOf(cut)) + parser.accept(bytes.copyOfRange(cut, bytes.size))
                    events shouldBe listOf("one é", "two\nthree")
                }
            }
        }
    })
