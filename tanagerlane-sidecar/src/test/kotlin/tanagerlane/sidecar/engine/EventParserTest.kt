package tanagerlane.sidecar.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class EventParserTest :
    FunSpec({
        listOf("\n", "\r\n").forEach { lineEnding ->
            test("events do not depend on where the bytes are split, line ending of length ${lineEnding.length}") {
                val lines =
                    listOf(": comment", "data: one é", "", "event: x", "data:two", "data: three", "", "data: cut off")
                val bytes = lines.joinToString(lineEnding).encodeToByteArray()
                bytes.indices.forEach { cut ->
                    val parser = EventParser()
                    val events = parser.accept(bytes.copyOf(cut)) + parser.accept(bytes.copyOfRange(cut, bytes.size))
                    events shouldBe listOf("one é", "two\nthree")
                }
            }
        }

        data class LimitCase(
            val text: String,
            val events: List<String>,
            val isOverlong: Boolean,
        )
        listOf(
            LimitCase("data: abcd\n\ndata: e\n\n", listOf("abcd", "e"), isOverlong = false),
            LimitCase("data: abcde\n\ndata: f\n\n", emptyList(), isOverlong = true),
            LimitCase("data: a\n\n: comment without end", listOf("a"), isOverlong = true),
            LimitCase("data: a\ndata: b\n", emptyList(), isOverlong = true),
        ).forEach { case ->
            test("events of at most 12 bytes: ${case.text.replace("\n", "|")}") {
                val parser = EventParser(maximumEventBytes = 12)
                parser.accept(case.text.encodeToByteArray()) shouldBe case.events
                parser.isOverlong shouldBe case.isOverlong
            }
        }
    })
