package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import tanagerlane.joblog.JobRecord
import tanagerlane.joblog.RawItem
import tanagerlane.model.FailureDomain
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget
import tanagerlane.runtime.MonotonicClock
import tanagerlane.store.ObjectKey
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** A faulty target sends a refusal again when the refused request comes back over the same connection and runs. */
class RepeatedRefusalServingTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        val attempts = ConcurrentHashMap<String, Int>()
        val runs = ConcurrentHashMap<String, Int>()
        val heldRefusals = ConcurrentHashMap<String, () -> Unit>()

        fun serve(
            socket: NetSocket,
            id: String,
            isRefusedHere: Boolean,
        ) {
            val attempt = attempts.merge(id, 1, Int::plus)
            when {
                id.startsWith("cut") -> {
                    runs.merge(id, 1, Int::plus)
                    socket.write(success(id) + "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nX-Cause: ")
                }

                id.startsWith("other") -> {
                    socket.write(success(id))
                }

                attempt == 1 -> {
                    socket.write(refusal(id))
                }

                attempt == 2 && id.startsWith("once") -> {
                    heldRefusals[id] = { socket.write(refusal(id)) }
                }

                else -> {
                    runs.merge(id, 1, Int::plus)
                    if (isRefusedHere) socket.write(refusal(id))
                    socket.write(success(id))
                }
            }
        }

        suspend fun startTarget(): Int =
            vertx
                .createNetServer()
                .connectHandler { socket ->
                    val ids = mutableSetOf<String>()
                    socket.handler { bytes ->
                        val id = ID.find(bytes.toString())?.groupValues?.get(1) ?: return@handler
                        serve(socket, id, isRefusedHere = !ids.add(id))
                    }
                }.listen(0, "127.0.0.1")
                .coAwait()
                .actualPort()

        suspend fun send(
            port: Int,
            id: String,
        ): Int? = withContext(Dispatchers.IO) { KeepAliveConnection(port).use { it.send("/once/1", id) } }

        test("a request that may run once is run once and answered although an earlier refusal is repeated") {
            val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
            listOf("t1", "t2").forEach { name ->
                deployment.store.put(ObjectKey("targets/$name"), Payload.of("${startTarget()}"), null)
            }
            val port = deployment.start("entry-1", "entry").port
            eventually(10.seconds) { send(port, "other") shouldBe 200 }
            val outcomes =
                List(ROUNDS) { round ->
                    val id = "once$round"
                    coroutineScope {
                        val status = async { send(port, id) }
                        eventually(5.seconds) { heldRefusals.containsKey(id) shouldBe true }
                        send(port, "other$round") shouldBe 200
                        heldRefusals.getValue(id)()
                        "${status.await()} after ${runs[id]} runs"
                    }
                }
            outcomes shouldBe List(ROUNDS) { "200 after 1 runs" }
        }
        test("a request that may run once is run once although a refusal that ends early precedes its answer") {
            val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
            deployment.store.put(ObjectKey("targets/t1"), Payload.of("${startTarget()}"), null)
            val port = deployment.start("entry-1", "entry").port
            eventually(10.seconds) { send(port, "other") shouldBe 200 }
            repeat(ROUNDS) { round ->
                send(port, "cut$round")
                runs["cut$round"] shouldBe 1
            }
        }

        test("an item that runs counts as run although an earlier refusal is repeated") {
            val names =
                HeaderNames(
                    requestId = "Attempt-Id",
                    deadline = "Deadline-Ms",
                    key = "Credential",
                    workspace = "Tenant",
                    expectedTarget = "Expect-Instance",
                    notRun = "Not-Run",
                    resumeAfter = "Last-Event-Id",
                    resumedAttempt = "Resumes",
                    wait = "Wait-Ms",
                    promptParts = "Prompt-Prefix",
                )
            val target =
                DirectTarget(
                    TargetName("t1"),
                    ServiceName("models"),
                    "127.0.0.1:${startTarget()}",
                    FailureDomain("a"),
                    places = 4,
                )
            val start = Instant.fromEpochSeconds(1_000_000)
            val job =
                JobRecord(
                    job = JobId("j1"),
                    route = "jobs",
                    routeHost = "localhost",
                    service = target.service,
                    submittedAt = start,
                    dueAt = start + 18.seconds,
                    keepUntil = start + 60.seconds,
                    expiresAt = start + 120.seconds,
                    attempts = 2,
                    parts = 1,
                    items = 2,
                    tokens = 2,
                )
            val endings =
                withContext(vertx.dispatcher()) {
                    val client = TargetClient(vertx, names.requestId, MonotonicClock()::now)
                    val runner = ItemRunner(client, RequestHeaders(names), names)
                    val progress =
                        listOf("item", "other_item").associateWith {
                            ItemProgress(
                                RawItem(RequestId(it), "/jobs/$it", emptyList(), Payload.of("body"), tokens = 1),
                            )
                        }
                    listOf("item", "other_item", "item").map { runner.run(job, progress.getValue(it), target) }
                }
            endings shouldBe listOf(ItemEnding.NOT_RUN, ItemEnding.WHOLE, ItemEnding.WHOLE)
        }
    }) {
    private companion object {
        const val ROUNDS = 10
        val ID = Regex("attempt-id: (\\w+)", RegexOption.IGNORE_CASE)

        fun refusal(id: String) =
            "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nAttempt-Id: $id\r\nContent-Length: 0\r\n\r\n"

        fun success(id: String) = "HTTP/1.1 200 OK\r\nAttempt-Id: $id\r\nContent-Length: 16\r\n\r\nid: 1\ndata: ok\n\n"
    }
}
