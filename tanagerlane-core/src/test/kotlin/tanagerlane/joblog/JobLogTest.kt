package tanagerlane.joblog

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import kotlin.random.Random
import kotlin.time.Instant

class JobLogTest :
    FunSpec({
        test("results are listed in the order of their pages") {
            val log = job(3).withPage(listOf(done("b"))).withPage(listOf(done("a"), done("c")))
            log.listed.map { it.id.text } shouldBe listOf("b", "a", "c")
            log.pages shouldBe 2
            log.isFinished shouldBe true
            log.pendingTokens shouldBe 0
        }

        test("an item with a listed result is not listed again") {
            val log = job(3).withPage(listOf(done("b")))
            log.listable(listOf(done("b"), done("c"), done("c"))) shouldBe listOf(done("c"))
            log.pending.map { it.id.text } shouldBe listOf("a", "c")
            log.pendingTokens shouldBe 20
        }

        test("a job that the client ended has nothing left to run") {
            val log = job(3).copy(isEnded = true)
            log.isFinished shouldBe true
            log.pendingTokens shouldBe 0
        }

        test("items may be given up once the retention time is over") {
            val log = job(1)
            log.mayAbandon(start) shouldBe false
            log.mayAbandon(log.record.keepUntil) shouldBe true
        }

        test("concurrent writers that pause and fail list each item exactly once") {
            repeat(200) { seed -> raceWriters(Random(seed)) }
        }
    }) {
    private companion object {
        val start = Instant.fromEpochSeconds(1_000_000)

        fun job(items: Int) =
            JobLog(
                record =
                    JobRecord(
                        job = JobId("night"),
                        route = "sweeps",
                        routeHost = "rail.example",
                        service = ServiceName("finding-models"),
                        submittedAt = start,
                        dueAt = Instant.fromEpochSeconds(1_000_018),
                        keepUntil = Instant.fromEpochSeconds(1_000_060),
                        expiresAt = Instant.fromEpochSeconds(1_000_120),
                        attempts = 3,
                        parts = 1,
                        items = items,
                        tokens = 10L * items,
                    ),
                items =
                    List(items) {
                        RawItem(
                            RequestId(('a' + it).toString()),
                            "/sweeps/$it",
                            emptyList(),
                            Payload.EMPTY,
                            tokens = 10,
                        )
                    },
            )

        fun done(id: String) = ListedResult(RequestId(id), ItemEnd.COMPLETED, "text of $id")

        /** Writers with separate copies of the log create pages; only the first creation of each page succeeds. */
        fun raceWriters(random: Random) {
            val stored = ArrayList<List<ListedResult>>()
            val writers = MutableList(3) { job(12) }
            repeat(400) {
                val number = random.nextInt(writers.size)
                val log = writers[number]
                val finished = log.pending.shuffled(random).take(random.nextInt(4))
                val page = log.listable(finished.map { done(it.id.text) })
                if (page.isNotEmpty()) {
                    if (log.pages == stored.size) {
                        stored += page
                        val isResponseLost = random.nextInt(5) == 0
                        writers[number] = if (isResponseLost) log else log.withPage(page)
                    } else {
                        writers[number] = log.withAllPages(stored)
                    }
                }
            }
            val listed = stored.flatten().map { it.id.text }
            listed.sorted() shouldBe job(12).items.map { it.id.text }
        }
    }
}
