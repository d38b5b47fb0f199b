package tanagerlane.direct

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.joblog.RawItem
import tanagerlane.model.Payload
import tanagerlane.model.RequestId
import tanagerlane.streams.EventAssembler

class ItemProgressTest :
    FunSpec({
        data class Case(
            val name: String,
            val stream: String,
            val savable: Int,
        )
        listOf(
            Case("no event", "", 0),
            Case("one event", "id: 1\ndata: a\n\n", 0),
            Case("events with numbers", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", 2),
            Case("events without numbers, after which no run can be resumed", "data: a\n\ndata: b\n\ndata: c\n\n", 0),
        ).forEach { case ->
            test("the events of an item that may be saved: ${case.name}") {
                val item = RawItem(RequestId("i1"), "/jobs/1", emptyList(), Payload.of("body"), tokens = 1)
                val progress = ItemProgress(item)
                EventAssembler().accept(case.stream.toByteArray()).forEach { progress.add(it) shouldBe true }
                progress.savableEventCount shouldBe case.savable
            }
        }
    })
