package tanagerlane.direct

import com.github.michaelbull.result.getOrElse
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import tanagerlane.model.Payload
import tanagerlane.model.RegionName
import tanagerlane.store.ObjectKey
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlin.time.Duration.Companion.seconds

class EvacuationServingTest :
    FunSpec({
        val vertx = Vertx.vertx()
        val client = HttpClient.newHttpClient()
        afterSpec { vertx.close().coAwait() }

        suspend fun send(
            port: Int,
            method: String,
            path: String,
            id: String = "r",
            body: String = "",
        ): HttpResponse<String> {
            val request =
                HttpRequest
                    .newBuilder(URI("http://localhost:$port$path"))
                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                    .header("Attempt-Id", id)
                    .header("Credential", "good-key")
                    .timeout(Duration.ofSeconds(20))
            return withContext(Dispatchers.IO) { client.send(request.build(), HttpResponse.BodyHandlers.ofString()) }
        }

        suspend fun startTargets(vararg names: String) = names.map { FakeTarget(vertx, it).start() }

        fun deploymentOf(targets: List<FakeTarget>) =
            FakeDeployment(vertx, targets, domains = targets.associate { it.name to it.name.take(1) })

        suspend fun evacuate(
            deployment: FakeDeployment,
            domain: String,
        ) = deployment.store.put(ObjectKey("evacuations/$domain"), Payload.of("any"), null).getOrElse { error("$it") }

        suspend fun awaitEvacuations(
            ports: List<List<Int>>,
            domains: String,
        ) = eventually(10.seconds) {
            ports.forEach { process ->
                val status = send(process[2], "GET", "/status").body()
                status.substringAfter("\"evacuations\":").replace(Regex(":\\d+"), "") shouldBe "{$domains}}"
            }
        }

        // Guards against requests, second attempts or batch items that are sent to an evacuated failure domain, against
        // refusals that do not say "not run", and against a domain that stays unused.
        test("an evacuated failure domain gets no requests and no batch items until its evacuation is removed") {
            val targets = startTargets("a1", "b1")
            val deployment = deploymentOf(targets).also { it.prepare() }
            val ports = List(2) { deployment.freePorts() }
            val port = deployment.start("entry-1", "entry", ports = ports[0], furtherSettings = BOUND).port
            deployment.start("batch-1", "batch", ports = ports[1], furtherSettings = BOUND)
            eventually(10.seconds) { send(port, "GET", "/ready").statusCode() shouldBe 200 }

            suspend fun runJob(name: String) {
                val items = (1..8).map { "$name$it" }
                send(port, "POST", "/jobs/x", name, items.joinToString("\n")).statusCode() shouldBe 202
                eventually(20.seconds) {
                    val results = send(port, "GET", "/results/$name").body().lines()
                    results shouldContainAll items.map { "$it COMPLETED 10" } + "8 of 8"
                }
            }

            val first = evacuate(deployment, "a")
            evacuate(deployment, "nowhere")
            awaitEvacuations(ports, "\"a\",\"nowhere\"")
            send(ports[0][2], "GET", "/metrics").body() shouldContain "tanagerlane_evacuations_in_force 2"
            // The streams break off and find no other target, so that their callers get no whole answer.
            targets[1].breaksAfter = 4
            repeat(4) { runCatching { send(port, "POST", "/streams/1", "s$it") } }
            targets[1].requests shouldHaveSize 8
            targets[1].breaksAfter = null
            runJob("night")
            targets[0].requests shouldBe emptyList()

            val second = evacuate(deployment, "b")
            awaitEvacuations(ports, "\"a\",\"b\",\"nowhere\"")
            val before = targets[1].requests.toList()
            val refusal = send(port, "POST", "/once/1", "n1")
            refusal.statusCode() shouldBe 503
            refusal.headers().firstValue("Retry-After").isPresent shouldBe true
            send(port, "POST", "/jobs/x", "late", "l1").statusCode() shouldBe 202
            send(port, "GET", "/ready").statusCode() shouldBe 200
            targets.flatMap { it.requests } shouldBe before

            deployment.store.delete(ObjectKey("evacuations/a"), first).getOrElse { error("$it") }
            eventually(10.seconds) { targets[0].requests.filter { it.startsWith("l1 ") } shouldHaveSize 1 }
            deployment.store.delete(ObjectKey("evacuations/b"), second).getOrElse { error("$it") }
            awaitEvacuations(ports, "\"nowhere\"")
            // More at once than the preferred domain has places.
            eventually(10.seconds) {
                coroutineScope { repeat(12) { launch { send(port, "POST", "/streams/1", "t$it") } } }
                targets.forEach { target -> target.requests.count { it.startsWith("t") } shouldBeGreaterThan 0 }
            }
        }

        // Guards against streams that are cut by an evacuation, or that are resumed in the evacuated domain.
        test("a stream in an evacuated domain goes on there, and is resumed elsewhere when it breaks off") {
            val targets = listOf("a1", "a2").map { FakeTarget(vertx, it, 120, 20).start() }
            val other = FakeTarget(vertx, "b1", 120, 1).start()
            targets.forEach { it.breaksAfter = 100 }
            val deployment = deploymentOf(targets + other)
            deployment.store.put(ObjectKey("config/main"), Payload.of("1"), null)
            targets.forEach { deployment.register(it.name, it.port) }
            val ports = deployment.freePorts()
            val port = deployment.start("entry-1", "entry", ports = ports, furtherSettings = BOUND).port
            eventually(10.seconds) { send(port, "GET", "/ready").statusCode() shouldBe 200 }
            val answer =
                coroutineScope {
                    val stream = async { send(port, "POST", "/streams/1", "long") }
                    eventually(5.seconds) { targets.sumOf { it.requests.size } shouldBe 1 }
                    deployment.register(other.name, other.port)
                    evacuate(deployment, "a")
                    awaitEvacuations(listOf(ports), "\"a\"")
                    stream.await()
                }
            answer.body().lines().count { it.startsWith("id: ") } shouldBe 120
            targets.sumOf { it.requests.size } shouldBe 1
            other.requests shouldBe listOf("long after 100")
        }

        // Guards against a process that serves without knowing of evacuations, or not at all, as the store is away.
        listOf(true, false).forEach { isKnown ->
            test("an entry that starts without the object API learns of evacuations from others: $isKnown") {
                val targets = startTargets("a1", "b1")
                val deployment = deploymentOf(targets).also { it.prepare() }
                val ports = deployment.registerEarlierInstance("entry-2")
                evacuate(deployment, "a")
                val firstPorts = deployment.freePorts()
                // The other entry of an older version does not know of evacuations.
                val first = FlakyStore(deployment.store)
                val settings = if (isKnown) BOUND else ""
                val firstPort = deployment.start("entry-1", "entry", first, firstPorts, furtherSettings = settings).port
                eventually(10.seconds) { send(firstPort, "GET", "/ready").statusCode() shouldBe 200 }
                first.isUnavailable = true
                val away = FlakyStore(deployment.store).also { it.isUnavailable = true }
                val port = deployment.start("entry-2", "entry", away, ports, furtherSettings = BOUND).port
                eventually(12.seconds) {
                    val answer = send(port, "POST", "/streams/1", "s1")
                    // Once evacuations are known, no request may have reached the domain before either.
                    if (isKnown) targets[0].requests shouldBe emptyList()
                    answer.statusCode() shouldBe 200
                }
                if (isKnown) {
                    repeat(10) { send(port, "POST", "/streams/1", "u$it") }
                    targets[0].requests shouldBe emptyList()
                    awaitEvacuations(listOf(ports), "\"a\"")
                }
            }
        }

        // Guards against online requests or batch items that leave the home regions of their route.
        test("requests of a route with home regions go only to targets there, batch items as well") {
            val targets = startTargets("a1", "b1")
            val deployment = deploymentOf(targets).also { it.prepare() }
            val zones = """domainRegions = [{ failureDomain = "b", region = "south" }]"""
            val ports = deployment.freePorts()
            val port = deployment.start("entry-1", "entry", ports = ports, furtherSettings = zones).port
            deployment.start("batch-1", "batch", furtherSettings = zones)
            deployment.changeRoutes { routes -> routes.map { it.copy(homeRegions = setOf(RegionName("south"))) } }
            eventually(10.seconds) {
                send(ports[2], "GET", "/status").body() shouldContain
                    "\"revision\":2,\"targets\":2"
            }
            eventually(10.seconds) { send(port, "GET", "/ready").statusCode() shouldBe 200 }
            repeat(10) { send(port, "POST", "/streams/1", "h$it") }
            targets[1].requests.isEmpty() shouldBe false
            send(port, "POST", "/jobs/x", "homely", (1..6).joinToString("\n") { "i$it" }).statusCode() shouldBe 202
            eventually(20.seconds) { send(port, "GET", "/results/homely").body() shouldContain "6 of 6" }
            targets[0].requests shouldBe emptyList()
        }
    }) {
    private companion object {
        const val BOUND = "evacuationBound = '5s'"
    }
}
