package tanagerlane.direct

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import tanagerlane.joblog.ItemEnd
import tanagerlane.joblog.ListedResult
import tanagerlane.model.JobId
import tanagerlane.model.RequestId
import tanagerlane.store.Listing
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime
import kotlin.time.toJavaDuration

class ListedResultsTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val client = HttpClient.newHttpClient()
        afterSpec { vertx.close().coAwait() }

        /** Sends on an I/O thread, because the test may run in the event loop that has to answer the request. */
        suspend fun send(
            port: Int,
            method: String,
            path: String,
            body: String = "",
            wait: Duration = Duration.ZERO,
        ): HttpResponse<String> {
            val request =
                HttpRequest
                    .newBuilder(URI("http://localhost:$port$path"))
                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                    .header("Attempt-Id", "night")
                    .header("Credential", "good-key")
                    .header("Wait-Ms", "${wait.inWholeMilliseconds}")
                    .timeout(CALL_TIMEOUT.toJavaDuration())
            return withContext(Dispatchers.IO) { client.send(request.build(), HttpResponse.BodyHandlers.ofString()) }
        }

        /** Starts an entry and a runner, which runs the two items of job "night" and has listed no result of it. */
        suspend fun startRunningJob(
            target: FakeTarget,
            ownStore: (FakeDeployment) -> FlakyStore = { FlakyStore(it.store) },
        ): RunningJob {
            val deployment = FakeDeployment(vertx, listOf(target.start())).also { it.prepare() }
            val store = ownStore(deployment)
            val port = deployment.start("entry-1", "entry", store).port
            eventually(10.seconds) { send(port, "GET", "/ready").statusCode() shouldBe 200 }
            deployment.start("batch-1", "batch", store)
            send(port, "POST", "/jobs/x", "i1\ni2").statusCode() shouldBe 202
            eventually(20.seconds) { target.running shouldBe 2 }
            // Only a runner waits for results, so the entry knows the runner once a read takes that long.
            eventually(20.seconds) {
                measureTime { send(port, "GET", "/results/night", wait = READ_WAIT) } shouldBeGreaterThan READ_WAIT
            }
            return RunningJob(deployment, store, port)
        }

        /** Appends a page with the result of [item], as a second runner would that believes the job to be its own. */
        suspend fun appendByAnotherRunner(
            deployment: FakeDeployment,
            page: Int = 0,
            item: String = "i1",
        ) {
            val result = ListedResult(RequestId(item), ItemEnd.COMPLETED, "event 1")
            JobStorage(deployment.store, PART_BYTES)
                .append(JobId("night"), page, results = listOf(result))
                .getOrElse { error("$it") }
        }

        listOf(true, false).forEach { isEnded ->
            val state = if (isEnded) "has ended" else "is running"
            test("a result that another runner listed is not missing from a read while its job $state") {
                val target = FakeTarget(vertx, "t1", events = 2_000)
                val job = startRunningJob(target)
                appendByAnotherRunner(job.deployment)
                if (isEnded) {
                    send(job.port, "DELETE", "/ends/night").statusCode() shouldBe 200
                    eventually(5.seconds) { target.running shouldBe 0 }
                }
                send(job.port, "GET", "/results/night?after=0").body() shouldBe "i1 COMPLETED 1\n1 of 2"
            }
        }

        test("a result that was listed while the runner read the pages again is not missing from a read") {
            val held = HeldListing()
            val job = startRunningJob(FakeTarget(vertx, "t1", events = 2_000)) { FlakyStore(held.over(it.store)) }
            appendByAnotherRunner(job.deployment)
            held.holdNext()
            val first = async { send(job.port, "GET", "/results/night?after=0") }
            held.awaitTaken()
            appendByAnotherRunner(job.deployment, page = 1, item = "i2")
            send(job.port, "GET", "/results/night?after=1").body() shouldBe "i2 COMPLETED 1\n2 of 2"
            first.await()
        }

        test("a read that finds nothing new is refused while the object API cannot confirm that nothing is listed") {
            val job = startRunningJob(FakeTarget(vertx, "t1", events = 2_000))
            job.store.isUnavailable = true
            val answer = send(job.port, "GET", "/results/night?after=0")
            answer.statusCode() shouldBe 503
            answer.headers().firstValue("Retry-After").isPresent shouldBe true
        }

        test("a read is refused in time while neither a runner nor the object API answers") {
            val deployment = FakeDeployment(vertx, listOf(FakeTarget(vertx, "t1").start())).also { it.prepare() }
            val store = FlakyStore(deployment.store, failureDelay = 10.seconds)
            val port = deployment.start("entry-1", "entry", store).port
            eventually(10.seconds) { send(port, "GET", "/ready").statusCode() shouldBe 200 }
            send(port, "POST", "/jobs/x", "i1").statusCode() shouldBe 202
            store.isUnavailable = true
            val time = measureTime { send(port, "GET", "/results/night", wait = READ_WAIT).statusCode() shouldBe 503 }
            time shouldBeLessThan READ_WAIT + CALLER_PATIENCE
        }

        test("the results of a finished job are read while the object API is unavailable") {
            val job = startRunningJob(FakeTarget(vertx, "t1", events = 100))
            eventually(20.seconds) {
                send(job.port, "GET", "/results/night").body().lines().last() shouldBe "2 of 2"
            }
            job.store.isUnavailable = true
            send(job.port, "GET", "/results/night?after=1").body().lines().last() shouldBe "2 of 2"
            send(job.port, "GET", "/results/night?after=2").body() shouldBe "2 of 2"
        }
    }) {
    /** Delays the answer of one listing of results until a later check for the first page has been answered. */
    private class HeldListing {
        private val isDue = AtomicBoolean()
        private val taken = CompletableDeferred<Unit>()
        private val checkedLater = CompletableDeferred<Unit>()

        fun holdNext() = isDue.set(true)

        suspend fun awaitTaken() = withTimeout(CALL_TIMEOUT) { taken.await() }

        fun over(store: ObjectStore): ObjectStore =
            object : ObjectStore by store {
                override suspend fun get(key: ObjectKey): Result<StoredObject, StoreFailure> =
                    store.get(key).also { if (taken.isCompleted && key == FIRST_PAGE) checkedLater.complete(Unit) }

                override suspend fun list(prefix: String): Result<Listing, StoreFailure> {
                    val listing = store.list(prefix)
                    if (FIRST_PAGE.path.startsWith(prefix) && isDue.compareAndSet(true, false)) {
                        taken.complete(Unit)
                        withTimeoutOrNull(MAXIMUM_HOLD_TIME) { checkedLater.await() }
                        delay(HOLD_TIME)
                    }
                    return listing
                }
            }
    }

    private class RunningJob(
        val deployment: FakeDeployment,
        val store: FlakyStore,
        val port: Int,
    )

    private companion object {
        val CALL_TIMEOUT = 20.seconds
        val READ_WAIT = 300.milliseconds

        /** Time beyond the requested one after which callers give up a read. */
        val CALLER_PATIENCE = 1500.milliseconds
        val MAXIMUM_HOLD_TIME = 1.seconds
        val HOLD_TIME = 20.milliseconds
        val FIRST_PAGE = ObjectKey("job-results-night/000000")
        const val PART_BYTES = 100_000
    }
}
