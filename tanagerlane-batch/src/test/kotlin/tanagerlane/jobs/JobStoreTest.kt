package tanagerlane.jobs

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.asFlow
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeoutOrNull
import tanagerlane.batch.ItemError
import tanagerlane.batch.JobKeys
import tanagerlane.batch.MAXIMUM_ITEM_BYTES
import tanagerlane.documents.MAXIMUM_JSON_DEPTH
import tanagerlane.job.JobPhase
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.model.WorkspaceName
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.standin.store.StoreFaults
import tanagerlane.store.StoreFailure
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class JobStoreTest :
    FunSpec({
        for ((number, case) in invalidSubmissions.withIndex()) {
            val (lines, error) = case
            test("submission $number is refused and leaves nothing behind: $error") {
                val store = MemoryObjectStore()
                val jobs = JobStore(store, { "upload" }, JobLimits(items = 3, models = 2))
                jobs.submit(SUBMISSION, lines.map { Payload.of(it) }.asFlow(), START) shouldBe Err(error)
                store.list("jobs/").get()?.objects shouldBe emptyList()
            }
        }

        for (workspace in listOf("", "w".repeat(JobKeys.MAXIMUM_NAME_LENGTH + 1))) {
            test("a name of ${workspace.length} characters is refused") {
                JobStore(MemoryObjectStore(), { "upload" }).status(WorkspaceName(workspace), JobBench.JOB) shouldBe
                    Err(JobError.InvalidName(workspace, JobKeys.MAXIMUM_NAME_LENGTH))
            }
        }

        test("of two submissions at once with the same items one is accepted and the other joined") {
            runTest {
                raced(listOf("one"), listOf("one")) shouldContainExactlyInAnyOrder listOf(Ok(false), Ok(true))
            }
        }

        test("of two submissions at once with other items one is accepted and the other conflicts") {
            runTest {
                raced(listOf("one"), listOf("two")) shouldContainExactlyInAnyOrder
                    listOf(Ok(false), Err(JobError.ContentConflict(JobBench.JOB)))
            }
        }

        test("a submission is accepted although the answer of every write is lost") {
            runTest {
                val bench = JobBench(this)
                bench.store.faults = StoreFaults(loseAnswers = true)
                bench.submit(listOf("one")).joined shouldBe false
                bench.submit(listOf("one")).joined shouldBe true
            }
        }

        test("a job is whole after a resend, wherever the host that took it in was lost") {
            for (lostAt in 0..45) {
                runTest {
                    val bench = JobBench(this)
                    bench.store.faults = StoreFaults(delay = 5.milliseconds)
                    bench.startHost("a")
                    val items = List(30) { "item-$it" }
                    withTimeoutOrNull(lostAt.milliseconds) { bench.submit(items) }
                    bench.submit(items)
                    bench.awaitEnd()
                    bench.outcomes() shouldBe items.associateWith { "ANSWERED" }
                    bench.runs shouldBe items.associateWith { 1 }
                }
            }
        }

        test("a submission to a store that is down is refused as not accepted") {
            runTest {
                val bench = JobBench(this)
                bench.store.faults = StoreFaults(down = true)
                bench.jobs.submit(SUBMISSION, linesOf(listOf("one")), START) shouldBe
                    Err(JobError.StoreUnavailable(StoreFailure.Unavailable("object API is down")))
            }
        }

        for ((workspace, job) in strangers) {
            test("a job is not found as $job of $workspace") {
                runTest {
                    val bench = JobBench(this)
                    bench.submit(listOf("one"))
                    val error = Err(JobError.NotFound(JobId(job)))
                    bench.jobs.status(WorkspaceName(workspace), JobId(job)) shouldBe error
                    bench.jobs.results(WorkspaceName(workspace), JobId(job)) shouldBe error
                    bench.jobs.cancel(WorkspaceName(workspace), JobId(job), START) shouldBe error
                    bench.jobs.status(JobBench.WORKSPACE, JobBench.JOB).map { it.header.phase } shouldBe
                        Ok(JobPhase.OPEN)
                }
            }
        }

        test("a cancelled job stops for two operators at once and keeps the results that it has") {
            runTest {
                val bench = JobBench(this, itemTime = 10.seconds)
                listOf("a", "b").forEach { bench.startHost(it) }
                bench.submit(List(200) { "item-$it" })
                delay(45.seconds)
                val cancels = List(2) { async { bench.jobs.cancel(JobBench.WORKSPACE, JobBench.JOB, bench.now()) } }
                cancels.awaitAll().map { cancel -> cancel.map { it.phase } } shouldBe
                    List(2) { Ok(JobPhase.CANCELLED) }
                delay(1.milliseconds)
                val runs = bench.runs.toMap()
                delay(600.seconds)
                bench.runs shouldBe runs
                runs.size shouldBe 40
                bench.awaitEnd().doneItems shouldBe 32
                bench.outcomes().values.toSet() shouldBe setOf("ANSWERED")
            }
        }

        test("a job expires after its retention time, though the host that deletes it is killed") {
            runTest {
                val bench = JobBench(this)
                bench.startHost("a")
                bench.submit(List(40) { "item-$it" })
                val endedAt = checkNotNull(bench.awaitEnd().header.endedAt)
                delay(70.hours)
                bench.readResults()
                bench.seen.size shouldBe 40
                while (bench.jobs.results(JobBench.WORKSPACE, JobBench.JOB).isOk) {
                    delay(1.seconds)
                }
                bench.kill("a")
                bench.startHost("b")
                delay(4.hours)
                val expired = Err(JobError.Expired(JobBench.JOB, endedAt))
                bench.jobs.status(JobBench.WORKSPACE, JobBench.JOB) shouldBe expired
                bench.jobs.submit(SUBMISSION, linesOf(listOf("one")), bench.now()) shouldBe expired
                bench.store.list("jobs/").map { listing -> listing.objects.size } shouldBe Ok(1)
            }
        }

        test("a job that has finished is not cancelled") {
            runTest {
                val bench = JobBench(this)
                bench.startHost("a")
                bench.submit(listOf("one"))
                bench.awaitEnd()
                bench.jobs.cancel(JobBench.WORKSPACE, JobBench.JOB, bench.now()) shouldBe
                    Err(JobError.AlreadyEnded(JobPhase.FINISHED))
            }
        }
    })

private val START = Instant.fromEpochSeconds(0)
private val SUBMISSION = JobSubmission(JobBench.WORKSPACE, JobBench.JOB, due = START)

private fun linesOf(customIds: List<String>) = customIds.map { JobBench.lineOf(it) }.asFlow()

private fun line(
    customId: String,
    model: String = JobBench.MODEL.text,
): String = JobBench.jsonLineOf(customId, model)

private val strangers =
    listOf(
        "other" to JobBench.JOB.text,
        JobBench.WORKSPACE.text to "other",
        "North" to " & East/ward/${JobBench.JOB}",
        "North _26 East/ward" to JobBench.JOB.text,
    )

private fun invalid(
    line: Int,
    fault: ItemError,
): JobError = JobError.InvalidItem(line, fault)

private val invalidSubmissions: List<Pair<List<String>, JobError>> =
    listOf(
        emptyList<String>() to JobError.Empty,
        listOf("") to JobError.Empty,
        listOf("{\"custom_id\":") to invalid(0, ItemError.Malformed),
        listOf("[]") to invalid(0, ItemError.Malformed),
        listOf(line("one"), line("")) to invalid(1, ItemError.MissingField("custom_id")),
        listOf(line("one", model = "")) to invalid(0, ItemError.MissingField("model")),
        listOf("""{"custom_id":"one"}""") to invalid(0, ItemError.MissingField("body")),
        listOf(line("x".repeat(513))) to invalid(0, ItemError.FieldTooLong("custom_id", 512)),
        listOf("x".repeat(MAXIMUM_ITEM_BYTES + 1)) to invalid(0, ItemError.TooLarge(MAXIMUM_ITEM_BYTES)),
        listOf("[".repeat(200_000)) to invalid(0, ItemError.TooDeep(MAXIMUM_JSON_DEPTH)),
        listOf(line("one"), line("two"), line("one")) to JobError.DuplicateCustomId(2, "one"),
        List(4) { line("item-$it") } to JobError.TooManyItems(3),
        List(3) { line("item-$it", model = "model-$it") } to JobError.TooManyModels(2),
    )

/** Submits two lists of items under one name at once. */
private suspend fun CoroutineScope.raced(
    first: List<String>,
    second: List<String>,
): List<Result<Boolean, JobError>> {
    val store = MemoryObjectStore()
    store.faults = StoreFaults(delay = 5.milliseconds)
    val submissions =
        listOf(first, second).mapIndexed { number, items ->
            val jobs = JobStore(store, { "upload-$number" })
            async { jobs.submit(SUBMISSION, linesOf(items), START).map { it.joined } }
        }
    return submissions.awaitAll()
}
