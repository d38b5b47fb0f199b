package tanagerlane.joblog

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.JobId
import tanagerlane.model.RequestId
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class RecoveredProgressTest :
    FunSpec({
        val start = Instant.fromEpochSeconds(1_000_000)
        val job = JobId("night")
        val item = RequestId("i1")

        fun events(numbers: IntRange) = numbers.map { SavedEvent(it.toLong(), "event $it") }

        fun record(
            before: Int,
            numbers: IntRange,
            id: RequestId = item,
        ) = SavedProgressRecord(listOf(SavedProgress(job, id, start + 60.seconds, before, events(numbers))))

        data class Case(
            val name: String,
            val records: List<SavedProgressRecord>,
            val expected: List<SavedEvent>,
        )
        listOf(
            Case("records follow each other", listOf(record(0, 1..3), record(3, 4..5)), events(1..5)),
            Case("a record that comes twice counts once", listOf(record(0, 1..3), record(0, 1..3)), events(1..3)),
            Case("records that overlap are joined", listOf(record(0, 1..4), record(2, 3..6)), events(1..6)),
            Case("events after a gap are left out", listOf(record(0, 1..3), record(4, 5..6)), events(1..3)),
            Case("a whole record replaces what was before", listOf(record(0, 1..5), record(0, 1..2)), events(1..2)),
            Case("another item has nothing to do with it", listOf(record(0, 1..2, RequestId("i2"))), emptyList()),
        ).forEach { case ->
            test(case.name) {
                val ledger = RecoveredProgress()
                case.records.forEach(ledger::add)
                ledger.take(job, item) shouldBe case.expected
            }
        }

        test("what was taken is gone, and items that may be given up are not kept") {
            val ledger = RecoveredProgress().apply { add(record(0, 1..2)) }
            ledger.items(start + 59.seconds).map { it.item } shouldBe listOf(item)
            ledger.items(start + 60.seconds) shouldBe emptyList()
            ledger.take(job, item) shouldBe events(1..2)
            ledger.take(job, item) shouldBe emptyList()
        }
    })
