package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import tanagerlane.direct.RawCaller.ReceivedAnswer
import kotlin.time.Duration.Companion.seconds

/** Guards against streams that go on at a target which has started again with another version, unnoticed by the entry. */
class RestartedTargetTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        suspend fun send(
            port: Int,
            id: String,
            headers: String = "",
        ): ReceivedAnswer? = withContext(Dispatchers.IO) { RawCaller.send(port, "/streams/1", id, headers) }

        data class RestartCase(
            val name: String,
            val version: String,
            val isCutOff: Boolean,
            val isRestarted: Boolean,
            val status: Int,
        )
        listOf(
            RestartCase("does not start again", "v1", isCutOff = false, isRestarted = false, status = 200),
            RestartCase("has just started again", "v1", isCutOff = false, isRestarted = true, status = 503),
            RestartCase("starts again, the entry is cut off", "v1", isCutOff = true, isRestarted = true, status = 503),
            RestartCase("has no version, the entry is cut off", "", isCutOff = true, isRestarted = false, status = 200),
        ).forEach { case ->
            test("a stream that a caller resumes is not joined: its target ${case.name}") {
                val target = FakeTarget(vertx, "t1", version = case.version).start()
                val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
                val store = FlakyStore(deployment.store)
                val entry = deployment.start("entry-1", "entry", ownStore = store)
                eventually(10.seconds) { send(entry.port, "first")?.status shouldBe 200 }
                store.isUnavailable = case.isCutOff
                if (case.isRestarted) {
                    deployment.deregister("t1")
                    deployment.register("t1", target.port, version = "v2")
                }
                val answer = send(entry.port, "again", "Last-Event-Id: 3\r\nResumes: first\r\n")
                answer?.status shouldBe case.status
            }
        }

        listOf(false, true).forEach { isCutOff ->
            test("an answer that has begun goes on at another target, object API away: $isCutOff") {
                val targets = listOf("t1", "t2").map { FakeTarget(vertx, it, version = "v1").start() }
                val deployment = FakeDeployment(vertx, targets).also { it.prepare() }
                val store = FlakyStore(deployment.store)
                val entry = deployment.start("entry-1", "entry", ownStore = store)
                eventually(10.seconds) { send(entry.port, "first")?.status shouldBe 200 }
                targets.first().breaksAfter = 4
                store.isUnavailable = isCutOff
                val whole = (1..10).joinToString("") { "id: $it\ndata: event $it v1\n\n" }
                val answers = List(6) { send(entry.port, "broken-$it") }
                answers shouldBe List(6) { ReceivedAnswer(200, whole, isWhole = true) }
                targets.flatMap { it.requests }.any { it.endsWith("after 4") } shouldBe true
            }
        }
    })
