package tanagerlane.joblog

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.JobId
import tanagerlane.model.RequestId
import tanagerlane.model.SoftwareVersion
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
            version: String = "v1",
        ): SavedProgressRecord {
            val progress = SavedProgress(job, id, start + 60.seconds, before, events(numbers), SoftwareVersion(version))
            return SavedProgressRecord(listOf(progress))
        }

        data class Case(
            val name: String,
            val records: List<SavedProgressRecord>,
            val expected: List<SavedEvent>,
            val version: String = "v1",
        )
        listOf(
            Case("consecutive records are joined", listOf(record(0, 1..3), record(3, 4..5)), events(1..5)),
            Case("a repeated record counts once", listOf(record(0, 1..3), record(0, 1..3)), events(1..3)),
            Case("overlapping records are joined", listOf(record(0, 1..4), record(2, 3..6)), events(1..6)),
            Case("events after a gap are ignored", listOf(record(0, 1..3), record(4, 5..6)), events(1..3)),
            Case(
                "a record that starts at the first event replaces all earlier ones",
                listOf(record(0, 1..5), record(0, 1..2)),
                events(1..2),
            ),
            Case(
                "a record of another version that starts at the first event replaces all earlier ones",
                listOf(record(0, 1..5), record(0, 1..2, version = "v2"), record(2, 3..4, version = "v2")),
                events(1..4),
                version = "v2",
            ),
            Case(
                "events of another version are ignored",
                listOf(record(0, 1..3), record(3, 4..5, version = "v2")),
                events(1..3),
            ),
            Case("records of another item are ignored", listOf(record(0, 1..2, RequestId("i2"))), emptyList()),
        ).forEach { case ->
            test(case.name) {
                val progress = RecoveredProgress()
                case.records.forEach(progress::add)
                val taken = progress.take(job, item)
                taken?.events.orEmpty() shouldBe case.expected
                taken?.let { it.version shouldBe SoftwareVersion(case.version) }
            }
        }

        test("taken events are removed, and items that may be given up are not returned") {
            val progress = RecoveredProgress().apply { add(record(0, 1..2)) }
            progress.items(start + 59.seconds).map { it.item } shouldBe listOf(item)
            progress.items(start + 60.seconds) shouldBe emptyList()
            progress.take(job, item)?.events shouldBe events(1..2)
            progress.take(job, item) shouldBe null
        }
    })
