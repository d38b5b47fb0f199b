package tanagerlane.streams

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.Payload

class EventAssemblerTest :
    FunSpec({
        data class EventCase(
            val name: String,
            val text: String,
            val events: List<StreamEvent>,
            val isInsideEvent: Boolean = false,
        )
        val cases =
            listOf(
                EventCase("no bytes", "", emptyList()),
                EventCase("one event", "id: 1\ndata: a\n\n", listOf(event(1, "a", "id: 1\ndata: a\n\n"))),
                EventCase(
                    "two events",
                    "id:1\ndata:a\n\nid:2\ndata:b\n\n",
                    listOf(event(1, "a", "id:1\ndata:a\n\n"), event(2, "b", "id:2\ndata:b\n\n")),
                ),
                EventCase(
                    "carriage returns",
                    "id: 1\r\ndata: a\r\n\r\n",
                    listOf(event(1, "a", "id: 1\r\ndata: a\r\n\r\n")),
                ),
                EventCase(
                    "several data lines",
                    "data: a\ndata: b\n\n",
                    listOf(event(null, "a\nb", "data: a\ndata: b\n\n")),
                ),
                EventCase("text beyond ASCII", "id: 1\ndata: æø\n\n", listOf(event(1, "æø", "id: 1\ndata: æø\n\n"))),
                EventCase(
                    "an id that is not a number",
                    "id: x\ndata: a\n\n",
                    listOf(event(null, "a", "id: x\ndata: a\n\n")),
                ),
                EventCase(
                    "a truncated event",
                    "id: 1\ndata: a\n\nid: 2\nda",
                    listOf(event(1, "a", "id: 1\ndata: a\n\n")),
                    true,
                ),
                EventCase("an event without its blank line", "id: 1\ndata: a\n", emptyList(), true),
            )
        cases.forEach { case ->
            listOf(1, 3, Int.MAX_VALUE).forEach { size ->
                test("${case.name} in pieces of $size") {
                    val assembler = EventAssembler()
                    val pieces =
                        case.text
                            .encodeToByteArray()
                            .toList()
                            .chunked(size)
                    pieces.flatMap { assembler.accept(it.toByteArray()) } shouldBe case.events
                    assembler.isInsideEvent shouldBe case.isInsideEvent
                }
            }
        }

        data class LimitCase(
            val name: String,
            val text: String,
            val events: List<StreamEvent>,
            val isOverlong: Boolean,
        )
        listOf(
            LimitCase(
                "an event of the maximum size",
                "data: abcd\n\n",
                listOf(event(null, "abcd", "data: abcd\n\n")),
                false,
            ),
            LimitCase("an event one byte over the maximum size", "data: abcde\n\n", emptyList(), true),
            LimitCase("lines without a blank line", "data: a\ndata: b\ndata: c\n", emptyList(), true),
            LimitCase(
                "events after one over the maximum size",
                "data: a\n\ndata: abcdef\n\ndata: b\n\n",
                listOf(event(null, "a", "data: a\n\n")),
                true,
            ),
        ).forEach { case ->
            listOf(1, 3, Int.MAX_VALUE).forEach { size ->
                test("${case.name}, at most $LIMIT bytes, in pieces of $size") {
                    val assembler = EventAssembler(LIMIT)
                    val pieces =
                        case.text
                            .encodeToByteArray()
                            .toList()
                            .chunked(size)
                    pieces.flatMap { assembler.accept(it.toByteArray()) } shouldBe case.events
                    assembler.isOverlong shouldBe case.isOverlong
                }
            }
        }
    }) {
    private companion object {
        const val LIMIT = 12

        fun event(
            id: Long?,
            data: String,
            text: String,
        ) = StreamEvent(id, data, Payload.of(text))
    }
}
