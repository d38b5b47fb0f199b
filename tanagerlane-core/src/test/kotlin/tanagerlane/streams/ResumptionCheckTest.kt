package tanagerlane.streams

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.Payload

class ResumptionCheckTest :
    FunSpec({
        data class ResumptionCase(
            val name: String,
            val lastEvent: Long?,
            val numbers: List<Long?>,
            val accepted: Int,
        )
        listOf(
            ResumptionCase("the rest", lastEvent = 2, listOf(3, 4, 5), accepted = 3),
            ResumptionCase(
                "the rest and a closing event without a number",
                lastEvent = 2,
                listOf(3, null),
                accepted = 2,
            ),
            ResumptionCase("an event without a number first", lastEvent = 2, listOf(null, 3), accepted = 0),
            ResumptionCase("the stream from its start", lastEvent = 2, listOf(1, 2, 3), accepted = 0),
            ResumptionCase("the last event again", lastEvent = 2, listOf(2, 3), accepted = 0),
            ResumptionCase("a gap at the beginning", lastEvent = 2, listOf(4), accepted = 0),
            ResumptionCase("a gap later", lastEvent = 2, listOf(3, 5), accepted = 1),
            ResumptionCase("a repeated event", lastEvent = 2, listOf(3, 4, 4), accepted = 2),
            ResumptionCase("events after a stream without numbers", lastEvent = null, listOf(1, 2), accepted = 0),
            ResumptionCase("no events", lastEvent = 2, emptyList(), accepted = 0),
        ).forEach { case ->
            test("${case.name} after ${case.lastEvent}: ${case.accepted} of ${case.numbers.size} events are accepted") {
                val check = ResumptionCheck(case.lastEvent)
                case.numbers.takeWhile { check.accepts(event(it)) }.size shouldBe case.accepted
                check.hasContinued shouldBe (case.accepted > 0)
            }
        }
    })

private fun event(number: Long?) = StreamEvent(number, data = "", bytes = Payload.EMPTY)
