package tanagerlane.jobs

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrThrow
import com.github.michaelbull.result.map
import io.kotest.assertions.withClue
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.asFlow
import kotlinx.coroutines.isActive
import kotlinx.coroutines.job
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import tanagerlane.batch.BatchRules
import tanagerlane.batch.Claimant
import tanagerlane.job.ItemResult
import tanagerlane.job.JobPhase
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.JobId
import tanagerlane.model.ModelName
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.WorkspaceName
import tanagerlane.standin.store.MemoryObjectStore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Workers in virtual time over one object store, and a count of runs and results from outside. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class JobBench(
    private val scope: TestScope,
    private val rules: BatchRules = BatchRules(),
    private val itemTime: Duration = 2.seconds,
    private val answerDelay: Duration = Duration.ZERO,
    private val capacity: (String) -> Int = { 4 },
) {
    val store = MemoryObjectStore()
    val jobs = JobStore(store, newUpload = { "upload-${uploads++}" })
    val runs = HashMap<String, Int>()
    val runOrder = mutableListOf<String>()
    val seen = HashMap<Int, ItemResult>()
    private val hosts = HashMap<String, Host>()
    private var uploads = 0

    fun now(): Instant = Instant.fromEpochMilliseconds(scope.currentTime)

    /** Starts a worker under [name]; one that was started before under that name must have stopped. */
    fun startHost(name: String): BatchWorker {
        val incarnation = (hosts[name]?.incarnation ?: 0) + 1
        val context = scope.backgroundScope.coroutineContext
        val hostScope = CoroutineScope(context + Job(context.job))
        val hostStore = FreezableStore(store, answerDelay)
        val worker =
            BatchWorker(
                scope = hostScope,
                store = hostStore,
                claimant = Claimant(HostName(name), Incarnation(incarnation)),
                rules = rules,
                target = BatchTarget({ setOf(MODEL) }, { capacity(name) }) { runItem(name, it) },
                registry = SimpleMeterRegistry(),
                weightOf = { 1 },
                now = ::now,
            )
        hosts[name] = Host(incarnation, hostScope, hostStore, worker)
        worker.start()
        return worker
    }

    fun kill(name: String) {
        hosts.getValue(name).scope.cancel()
    }

    suspend fun stop(name: String) {
        hosts.getValue(name).worker.stop(drain = 5.seconds)
    }

    fun isAlive(name: String): Boolean = hosts.getValue(name).scope.isActive

    fun freeze(
        name: String,
        frozen: Boolean,
    ) {
        hosts
            .getValue(name)
            .store.frozen.value = frozen
    }

    suspend fun submit(
        customIds: List<String>,
        job: JobId = JOB,
        workspace: WorkspaceName = WORKSPACE,
        due: Duration = 4.hours,
        model: ModelName = MODEL,
    ): JobReceipt {
        val submission = JobSubmission(workspace, job, now() + due)
        val lines = customIds.map { lineOf(it, model.text) }.asFlow()
        return jobs.submit(submission, lines, now()).getOrThrow { AssertionError("$it") }
    }

    /** Reads results until the job ends; none may ever change or come twice. */
    suspend fun awaitEnd(
        limit: Duration = 8.hours,
        job: JobId = JOB,
    ): JobStatus {
        val end = now() + limit
        while (now() < end) {
            readResults(job)
            val status = jobs.status(WORKSPACE, job).fold({ it }, { null })
            if (status != null && status.header.phase != JobPhase.OPEN) {
                readResults(job)
                return status
            }
            delay(LOOK_INTERVAL)
        }
        throw AssertionError("job $job did not end within $limit: ${jobs.status(WORKSPACE, job)}")
    }

    /** Waits for the end of the job without a call of the object API. */
    suspend fun awaitPhaseEnd() {
        delay(SETTLING_TIME)
        jobs.status(WORKSPACE, JOB).map { it.header.phase } shouldBe Ok(JobPhase.FINISHED)
    }

    suspend fun readResults(job: JobId = JOB) {
        val read = HashMap<Int, ItemResult>()
        var cursor: ResultCursor? = ResultCursor.START
        while (cursor != null) {
            val page = jobs.results(WORKSPACE, job, cursor).fold({ it }, { return })
            for (result in page.results) {
                withClue("second result of line ${result.line}") { read.put(result.line, result) shouldBe null }
            }
            cursor = page.next
        }
        for ((line, result) in seen) {
            withClue("result of line $line has changed") { read[line] shouldBe result }
        }
        seen += read
    }

    /** Returns the outcome of each item, by its custom id. */
    fun outcomes(): Map<String, String> = seen.values.associate { it.customId to (it.failure?.name ?: "ANSWERED") }

    private suspend fun runItem(
        host: String,
        run: ItemRun,
    ): ItemOutcome {
        val customId = run.item.customId
        runs.merge(customId, 1, Int::plus)
        runOrder += customId
        val number = runOrder.size
        if (customId.startsWith(KILLER)) {
            kill(host)
            awaitCancellation()
        }
        delay(itemTime)
        hosts.getValue(host).store.awaitThaw()
        return if (customId.startsWith(POISONED)) {
            ItemOutcome.Failed(RefusalReason.TARGET_FAILED)
        } else {
            ItemOutcome.Answered(statusCode = 200, body = Payload.of("run $number"))
        }
    }

    private data class Host(
        val incarnation: Long,
        val scope: CoroutineScope,
        val store: FreezableStore,
        val worker: BatchWorker,
    )

    companion object {
        val WORKSPACE = WorkspaceName("North & East/ward")
        val JOB = JobId("captions ../7")
        val MODEL = ModelName("wording")
        const val KILLER = "killer"
        const val POISONED = "poisoned"
        private val SETTLING_TIME = 60.seconds
        private val LOOK_INTERVAL = 10.seconds

        fun lineOf(
            customId: String,
            model: String = MODEL.text,
        ): Payload = Payload.of(jsonLineOf(customId, model))

        fun jsonLineOf(
            customId: String,
            model: String = MODEL.text,
        ): String =
            """{"custom_id":"$customId","method":"POST","url":"/v1/chat/completions","body":{"model":"$model"}}"""
    }
}
