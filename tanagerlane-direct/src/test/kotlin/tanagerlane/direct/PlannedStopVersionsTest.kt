package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import tanagerlane.direct.RawCaller.ReceivedAnswer
import tanagerlane.store.ObjectKey
import kotlin.time.Duration.Companion.seconds

/** Guards against processes that take a deployment for a new one because all others have stopped as planned. */
class PlannedStopVersionsTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        suspend fun send(
            port: Int,
            id: String,
            headers: String = "",
        ): ReceivedAnswer? = withContext(Dispatchers.IO) { RawCaller.send(port, "/streams/1", id, headers) }

        suspend fun FakeDeployment.startEntry(
            name: String,
            first: String,
        ): StartedDaemon =
            start(name, "entry").also {
                // A process that has just started refuses requests while it is busy with loading classes.
                eventually(10.seconds) { send(it.port, first)?.status shouldBe 200 }
            }

        data class StopCase(
            val name: String,
            val stopped: List<String>,
            val version: String,
            val status: Int,
        )
        val processes = listOf("entry-1", "entry-2", "batch-1")
        listOf(
            StopCase("all processes stop and its version leaves", processes, version = "v2", status = 503),
            StopCase("one entry stops and its version leaves", listOf("entry-1"), version = "v2", status = 503),
            StopCase("one entry stops and its version stays", listOf("entry-1"), version = "v1", status = 200),
        ).forEach { case ->
            test("a stream that its caller resumes after a planned stop is not joined when ${case.name}") {
                val before = FakeTarget(vertx, "t1", version = "v1").start().also { it.breaksAfter = 3 }
                val after = FakeTarget(vertx, "t2", version = case.version).start()
                val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
                deployment.register("t2", after.port, version = "v1")
                val started =
                    listOf("entry-1", "entry-2").associateWith { deployment.startEntry(it, "first-$it") } +
                        ("batch-1" to deployment.start("batch-1", "batch"))
                deployment.deregister("t2")
                deployment.register("t1", before.port, version = "v1")
                eventually(10.seconds) {
                    send(started.getValue("entry-1").port, "broken")?.isWhole shouldBe false
                }
                coroutineScope {
                    case.stopped.map { async { started.getValue(it).daemon.drainAndStop() } }.awaitAll()
                }
                deployment.deregister("t1")
                deployment.register("t2", after.port, version = case.version)
                val entry = deployment.startEntry("entry-3", "first-again")
                eventually(10.seconds) { deployment.store.get(ObjectKey("deployments/first-start")).isOk shouldBe true }
                // Nothing tells when the process has used the outcome of its own attempt to create the object.
                delay(1.seconds)
                val answer = send(entry.port, "again", "Last-Event-Id: 3\r\nResumes: broken\r\n")
                answer?.status shouldBe case.status
                after.requests.count { it.startsWith("again ") } shouldBe (if (case.status == 200) 1 else 0)
            }
        }
    })
