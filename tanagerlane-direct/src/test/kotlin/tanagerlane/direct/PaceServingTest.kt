package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Guards against limits that a process does not ask for, or that leave a target without requests for good. */
class PaceServingTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val client = HttpClient.newHttpClient()
        afterSpec { vertx.close().coAwait() }

        suspend fun send(
            port: Int,
            id: String,
        ): Int =
            withContext(Dispatchers.IO) {
                val request =
                    HttpRequest
                        .newBuilder(URI("http://localhost:$port/calls/$id"))
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .header("Attempt-Id", id)
                        .header("Credential", "good-key")
                client.send(request.build(), HttpResponse.BodyHandlers.ofString()).statusCode()
            }

        test("entries together send a cold target no more than its declared rate allows, and refuse the rest") {
            val target = FakeTarget(vertx, "t1").start()
            val deployment = FakeDeployment(vertx, listOf(target), coldRate = 4.0).also { it.prepare() }
            val ports = List(2) { deployment.start("entry-$it", "entry").port }
            ports.forEach { port -> eventually(10.seconds) { send(port, "first-$port") shouldBe 200 } }
            val before = target.requests.size
            val start = TimeSource.Monotonic.markNow()
            val statuses =
                coroutineScope { (1..60).map { async { send(ports[it % 2], "a$it") } }.awaitAll() }
            val seconds = start.elapsedNow().inWholeSeconds.toInt() + 1
            statuses.toSet() - setOf(200, 503) shouldBe emptySet()
            statuses.count { it == 200 } shouldBe target.requests.size - before
            target.requests.size - before shouldBeLessThanOrEqual 11 * seconds
            statuses shouldContain 503
        }

        test("a target that has crashed is served again at full pace, by all entries") {
            val target = FakeTarget(vertx, "t1").start()
            val deployment = FakeDeployment(vertx, listOf(target), pacing = true).also { it.prepare() }
            val ports = List(2) { deployment.start("entry-$it", "entry").port }
            ports.forEach { port -> eventually(10.seconds) { send(port, "first-$port") shouldBe 200 } }
            target.status = 500
            repeat(6) { send(ports[it % 2], "b$it") }
            target.status = 200
            ports.forEach { port ->
                eventually(10.seconds) {
                    (1..4).map { send(port, "c$it-${TimeSource.Monotonic.markNow().hashCode()}") } shouldBe
                        List(4) { 200 }
                }
            }
            target.requests.size shouldBeGreaterThan 8
        }
    })
