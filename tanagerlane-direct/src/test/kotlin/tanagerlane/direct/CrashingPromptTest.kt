package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

class CrashingPromptTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val client = HttpClient.newHttpClient()
        afterSpec { vertx.close().coAwait() }

        suspend fun send(
            port: Int,
            id: String,
            prompt: String? = null,
            method: String = "POST",
            path: String = "/streams/1",
        ): HttpResponse<String> {
            val request =
                HttpRequest
                    .newBuilder(URI("http://localhost:$port$path"))
                    .method(method, HttpRequest.BodyPublishers.noBody())
                    .header("Attempt-Id", id)
                    .header("Credential", "good-key")
                    .timeout(CALL_TIMEOUT.toJavaDuration())
            prompt?.let { request.header("Prompt-Prefix", it) }
            return withContext(Dispatchers.IO) { client.send(request.build(), HttpResponse.BodyHandlers.ofString()) }
        }

        suspend fun startEntries(targets: List<FakeTarget>): List<Int> {
            val deployment = FakeDeployment(vertx, targets.onEach { it.start() }).also { it.prepare() }
            val ports = listOf("entry-1", "entry-2").map { deployment.start(it, "entry").port }
            ports.forEach { port ->
                eventually(10.seconds) { send(port, "r", method = "GET", path = "/ready").statusCode() shouldBe 200 }
            }
            return ports
        }

        fun targets() = List(4) { FakeTarget(vertx, "t$it", restartMilliseconds = 200) }

        listOf("streams", "calls").forEach { route ->
            test("requests with a part that crashes targets stop reaching them, whichever entry they come to: $route") {
                val targets = targets()
                val ports = startEntries(targets)
                targets.forEach { it.crashesOn = "bad" }
                val statuses =
                    List(12) { number ->
                        delay(100.milliseconds)
                        send(
                            ports[number % 2],
                            "c$number",
                            "first:100,bad:50,own$number:10",
                            path = "/$route/1",
                        ).statusCode()
                    }
                targets.sumOf { it.crashes } shouldBeLessThanOrEqual MAXIMUM_CRASHES
                statuses.takeLast(6) shouldBe List(6) { 503 }
            }
        }

        test("a target whose listener outlives its connections counts as crashed") {
            val targets = List(4) { FakeTarget(vertx, "l$it", restartMilliseconds = 400, listenerMilliseconds = 100) }
            val ports = startEntries(targets)
            targets.forEach { it.crashesOn = "bad" }
            val statuses =
                List(12) { number ->
                    delay(300.milliseconds)
                    send(
                        ports[number % 2],
                        "l$number",
                        "first:100,bad:50,own$number:10",
                        path = "/calls/1",
                    ).statusCode()
                }
            targets.sumOf { it.crashes } shouldBeLessThanOrEqual MAXIMUM_CRASHES
            statuses.takeLast(6) shouldBe List(6) { 503 }
        }

        test("sound requests that share other parts with requests that crash targets are served") {
            val targets = targets()
            val ports = startEntries(targets)
            targets.forEach { it.crashesOn = "bad" }
            repeat(6) { send(ports[it % 2], "d$it", "first:100,bad:50,own$it:10") }
            // All targets have restarted by then.
            delay(500.milliseconds)
            List(10) { send(ports[it % 2], "s$it", "first:100,good:50,own$it:10").statusCode() } shouldBe
                List(10) { 200 }
        }

        test("an error that a target answers does not clear a part") {
            val targets = targets()
            val ports = startEntries(targets)

            suspend fun crash(id: String) {
                targets.forEach { it.crashesOn = "bad" }
                send(ports[0], id, "bad:50,$id:10", path = "/once/1")
                targets.forEach { it.crashesOn = null }
                // A second crash of the same target within two seconds would count as the first one.
                delay(2200.milliseconds)
            }
            crash("h1")
            targets.forEach { it.status = 400 }
            send(ports[0], "h2", "bad:50,h2:10").statusCode() shouldBe 400
            targets.forEach { it.status = 200 }
            crash("h3")
            send(ports[0], "h4", "bad:50,h4:10").statusCode() shouldBe 503
        }

        test("crashes of targets for other reasons refuse no request") {
            val targets = targets()
            val ports = startEntries(targets)
            repeat(3) { round ->
                targets.forEach { it.crashesOn = "first" }
                send(ports[0], "e$round", "first:100,own$round:10", path = "/once/1")
                targets.forEach { it.crashesOn = null }
                targets.sumOf { it.crashes } shouldBe round + 1
                delay(300.milliseconds)
                send(ports[1], "f$round", "first:100,own:10").statusCode() shouldBe 200
            }
            List(10) { send(ports[it % 2], "g$it", "first:100,own:10").statusCode() } shouldBe List(10) { 200 }
        }
    }) {
    private companion object {
        val CALL_TIMEOUT = 20.seconds

        /** Crashes that suffice to find the part, and one of a request that was under way meanwhile. */
        const val MAXIMUM_CRASHES = 3
    }
}
