package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import tanagerlane.direct.RawCaller.ReceivedAnswer
import kotlin.time.Duration.Companion.seconds

/** Guards against entries that claim one version only for a time in which they could not read the targets. */
class UnobservedVersionsTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        suspend fun send(
            port: Int,
            id: String,
            headers: String = "",
        ): ReceivedAnswer? = withContext(Dispatchers.IO) { RawCaller.send(port, "/streams/1", id, headers) }

        data class OutageCase(
            val name: String,
            val isCutOff: Boolean,
            val hasOtherVersion: Boolean,
            val status: Int,
        )
        listOf(
            OutageCase("one version stays", isCutOff = false, hasOtherVersion = false, status = 200),
            OutageCase("another version comes and leaves", isCutOff = false, hasOtherVersion = true, status = 503),
            OutageCase("another version comes and leaves in an outage", isCutOff = true, hasOtherVersion = true, 503),
        ).forEach { case ->
            test("a stream that began elsewhere is not joined after ${case.name}") {
                val target = FakeTarget(vertx, "t1", version = "v1").start()
                val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
                val store = FlakyStore(deployment.store)
                val entry = deployment.start("entry-1", "entry", ownStore = store)
                eventually(10.seconds) { send(entry.port, "first")?.status shouldBe 200 }
                eventually(10.seconds) {
                    send(entry.port, "known", "Last-Event-Id: 3\r\nResumes: other\r\n")?.status shouldBe 200
                }
                store.isUnavailable = case.isCutOff
                delay(1.seconds)
                if (case.hasOtherVersion) deployment.register("t2", target.port, version = "v2")
                delay(5.seconds)
                deployment.deregister("t2")
                delay(1.seconds)
                store.isUnavailable = false
                delay(2.seconds)
                eventually(5.seconds) { send(entry.port, "second")?.status shouldBe 200 }
                val answer = send(entry.port, "again", "Last-Event-Id: 3\r\nResumes: elsewhere\r\n")
                answer?.status shouldBe case.status
            }
        }
    })
