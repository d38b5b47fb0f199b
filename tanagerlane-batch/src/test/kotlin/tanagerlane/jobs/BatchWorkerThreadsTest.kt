package tanagerlane.jobs

import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.asFlow
import tanagerlane.batch.BatchRules
import tanagerlane.batch.Claimant
import tanagerlane.job.JobPhase
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.Payload
import tanagerlane.standin.store.MemoryObjectStore
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class BatchWorkerThreadsTest :
    FunSpec({
        test("workers on several threads run every item once") {
            val store = MemoryObjectStore()
            val jobs = JobStore(store, { "upload" })
            val runs = ConcurrentHashMap<String, Int>()
            val items = List(20_000) { "item-$it" }
            val submission = JobSubmission(JobBench.WORKSPACE, JobBench.JOB, due = Clock.System.now())
            jobs
                .submit(submission, items.map { JobBench.lineOf(it) }.asFlow(), Clock.System.now())
                .getOrThrow { AssertionError("$it") }
            val scope = CoroutineScope(Dispatchers.Default + Job())
            val target =
                BatchTarget({ setOf(JobBench.MODEL) }, { 32 }) {
                    runs.merge(it.item.customId, 1, Int::plus)
                    ItemOutcome.Answered(statusCode = 200, body = Payload.of(it.item.customId))
                }
            val workers =
                List(4) {
                    val claimant = Claimant(HostName("host-$it"), Incarnation(1))
                    BatchWorker(scope, store, claimant, RULES, target, SimpleMeterRegistry(), { 1 }, Clock.System::now)
                }
            workers.forEach { it.start() }
            while (jobs.phase() == JobPhase.OPEN) {
                delay(50.milliseconds)
            }
            workers.forEach { it.stop(1.seconds) }
            runs shouldBe items.associateWith { 1 }
        }
    })

private val RULES = BatchRules(retryInterval = 50.milliseconds)

private suspend fun JobStore.phase(): JobPhase =
    status(JobBench.WORKSPACE, JobBench.JOB).getOrThrow { AssertionError("$it") }.header.phase
