package tanagerlane.direct

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getOrElse
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import tanagerlane.joblog.ItemEnd
import tanagerlane.joblog.ListedResult
import tanagerlane.model.JobId
import tanagerlane.model.RequestId
import tanagerlane.standin.store.MemoryObjectStore
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against results that are never listed, because they are larger in bytes than the object API stores. */
class ResultSizeTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val client = HttpClient.newHttpClient()
        afterSpec { vertx.close().coAwait() }

        suspend fun send(
            port: Int,
            method: String,
            path: String,
            body: String = "",
        ): HttpResponse<String> {
            val request =
                HttpRequest
                    .newBuilder(URI("http://localhost:$port$path"))
                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                    .header("Attempt-Id", "night")
                    .header("Credential", "good-key")
                    .timeout(Duration.ofSeconds(20))
            return withContext(Dispatchers.IO) { client.send(request.build(), HttpResponse.BodyHandlers.ofString()) }
        }

        data class ListedCase(
            val name: String,
            val target: FakeTarget,
            val items: Int,
            val hasOutage: Boolean,
        )
        listOf(
            ListedCase(
                "three-byte characters that end while the object API is unavailable",
                FakeTarget(vertx, "t1", eventFill = 2_000, filler = "\u6f22"),
                items = 60,
                hasOutage = true,
            ),
            ListedCase(
                "a text that is larger than an object",
                FakeTarget(vertx, "t1", events = 4, eventFill = 500_000),
                items = 2,
                hasOutage = false,
            ),
            ListedCase(
                "a text that is larger than a message between processes",
                FakeTarget(vertx, "t1", events = 10, eventFill = 500_000),
                items = 1,
                hasOutage = false,
            ),
        ).forEach { case ->
            test("all results are listed: ${case.name}") {
                val deployment = FakeDeployment(vertx, listOf(case.target.start())).also { it.prepare() }
                val store = FlakyStore(deployment.store)
                val port = deployment.start("entry-1", "entry").port
                eventually(10.seconds) { send(port, "GET", "/ready").statusCode() shouldBe 200 }
                deployment.start("batch-1", "batch", store)
                send(port, "POST", "/jobs/x", List(case.items) { "i$it" }.joinToString("\n")).statusCode() shouldBe 202
                if (case.hasOutage) {
                    eventually(20.seconds) { case.target.running shouldBe 4 }
                    store.isUnavailable = true
                    eventually(20.seconds) { case.target.requests.size shouldBe case.items }
                    store.isUnavailable = false
                }
                eventually(20.seconds) {
                    send(port, "GET", "/results/night?after=${case.items - 1}").body().lines().last() shouldBe
                        "${case.items} of ${case.items}"
                }
            }
        }

        listOf("x", "\u0436", "\u6f22", "\ud83d\ude00", "\u0001").forEach { character ->
            test("a page of texts of U+${character.codePointAt(0).toString(16)} fits into an object") {
                val store = MemoryObjectStore(MAXIMUM_BYTES)
                val storage = JobStorage(store, MAXIMUM_BYTES)
                val results = List(40) { ListedResult(RequestId("i$it"), ItemEnd.COMPLETED, character.repeat(it * 10)) }
                val remaining = results.toMutableList()
                var page = 0
                while (remaining.isNotEmpty()) {
                    val next = storage.firstPage(remaining).shouldNotBeEmpty()
                    storage.append(JobId("night"), page++, next) shouldBe Ok(Unit)
                    remaining.subList(0, next.size).clear()
                }
                val objects = store.list("").getOrElse { error("$it") }.objects
                objects.size shouldBe page
                objects.maxOf { it.value.size } shouldBeLessThanOrEqual MAXIMUM_BYTES
                storage.pages(JobId("night")).getOrElse { error("$it") }.flatten() shouldBe results
            }
        }

        test("a page is stored although the object API takes less than its configured size") {
            val store = MemoryObjectStore(MAXIMUM_BYTES)
            val storage = JobStorage(store, MAXIMUM_BYTES * 4)
            val results = List(40) { ListedResult(RequestId("i$it"), ItemEnd.COMPLETED, "x".repeat(200)) }
            val job = JobId("night")
            repeat(2) { storage.append(job, 0, storage.firstPage(results)).isErr shouldBe true }
            storage.append(job, 0, storage.firstPage(results)) shouldBe Ok(Unit)
        }
    }) {
    private companion object {
        const val MAXIMUM_BYTES = 4_000
    }
}
