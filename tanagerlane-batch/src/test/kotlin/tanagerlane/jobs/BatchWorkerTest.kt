package tanagerlane.jobs

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import tanagerlane.batch.JobKeys
import tanagerlane.job.ChunkState
import tanagerlane.model.JobId
import tanagerlane.model.ModelName
import tanagerlane.model.WorkspaceName
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class BatchWorkerTest :
    FunSpec({
        test("the job that is due first is run first, though it was submitted last") {
            runTest {
                val bench = JobBench(this, capacity = { 1 })
                for (hours in listOf(3, 2, 1)) {
                    bench.submit(listOf("due in $hours"), JobId("$hours"), due = hours.hours)
                }
                bench.startHost("a")
                delay(1.minutes)
                bench.runOrder shouldBe listOf("due in 1", "due in 2", "due in 3")
            }
        }

        test("a workspace with endless early jobs does not keep another's job from running") {
            runTest {
                val bench = JobBench(this, capacity = { 4 })
                val large = WorkspaceName("large")
                repeat(8) { job -> bench.submit(List(500) { "$job-$it" }, JobId("$job"), large, due = 1.hours) }
                bench.submit(List(10) { "small-$it" }, due = 9.hours)
                bench.startHost("a")
                bench.awaitEnd()
                bench.runOrder.indexOf("small-9") shouldBeLessThan 600
            }
        }

        test("items for a model that no target serves wait, all others are run") {
            runTest {
                val bench = JobBench(this)
                val other = JobId("other")
                bench.submit(listOf("one"), other, model = ModelName("absent"))
                bench.submit(listOf("two"))
                bench.startHost("a")
                bench.awaitEnd().doneItems shouldBe 1
                bench.jobs.status(JobBench.WORKSPACE, other).map { it.doneItems } shouldBe Ok(0)
                bench.runOrder shouldBe listOf("two")
            }
        }

        for (seconds in 1..9) {
            test("a stop after $seconds s releases every claim at once, one on its way too") {
                runTest {
                    val bench = JobBench(this, itemTime = 60.seconds, answerDelay = 2.seconds)
                    bench.submit(List(30) { "item-$it" })
                    bench.startHost("a")
                    delay(seconds.seconds)
                    bench.stop("a")
                    val states = bench.store.list(JobKeys(JobBench.WORKSPACE, JobBench.JOB).statePrefix)
                    val decoded = states.map { it.objects.map { state -> state.decoded<ChunkState>() } }
                    decoded
                        .get()
                        ?.map { state -> state.map { it.owner to it.window } }
                        ?.distinct()
                        .orEmpty() shouldBeIn
                        listOf(emptyList(), listOf(Ok(null to emptyList())))
                }
            }
        }

        test("a host whose capacity is gone gives its claims to others and counts no attempt") {
            runTest {
                var stalled = false
                val bench = JobBench(this, capacity = { host -> if (host == "a" && stalled) 0 else 2 })
                bench.startHost("a")
                bench.submit(List(100) { "item-$it" })
                delay(3.seconds)
                stalled = true
                delay(1.seconds)
                bench.startHost("b")
                bench.awaitEnd().doneItems shouldBe 100
                bench.runs.values.max() shouldBe 1
                bench.now().epochSeconds.toInt() shouldBeLessThan 200
            }
        }
    })
