package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
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
import tanagerlane.model.Payload
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a deployment that is taken for a new one as none of the processes before has recorded its start. */
class UnrecordedStartVersionsTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        suspend fun send(
            port: Int,
            id: String,
            headers: String = "",
        ): ReceivedAnswer? = withContext(Dispatchers.IO) { RawCaller.send(port, "/streams/1", id, headers) }

        /** Loses the answers to writes of objects about the deployment, which have no effect. */
        class LosingStore(
            private val store: ObjectStore,
        ) : ObjectStore by store {
            override suspend fun put(
                key: ObjectKey,
                value: Payload,
                expected: ObjectVersion?,
            ): Result<ObjectVersion, StoreFailure> =
                if (key.path.startsWith("deployments/")) {
                    Err(StoreFailure.OutcomeUnknown("lost"))
                } else {
                    store.put(key, value, expected)
                }
        }

        data class StartCase(
            val name: String,
            val isBesideEarlierRelease: Boolean,
            val losesRecord: Boolean,
        )
        listOf(
            StartCase("the start is recorded", isBesideEarlierRelease = false, losesRecord = false),
            StartCase("its processes replaced those of an earlier release", true, losesRecord = false),
            StartCase("the record of the start was lost", isBesideEarlierRelease = false, losesRecord = true),
        ).forEach { case ->
            test("a stream that a planned stop of all processes cut is not joined if ${case.name}") {
                val before = FakeTarget(vertx, "t1", version = "v1").start().also { it.breaksAfter = 3 }
                val after = FakeTarget(vertx, "t2", version = "v2").start()
                val deployment = FakeDeployment(vertx, emptyList()).also { it.prepare() }
                deployment.register("t2", after.port, version = "v1")
                if (case.isBesideEarlierRelease) deployment.registerEarlierInstance("entry-0")
                val store = if (case.losesRecord) LosingStore(deployment.store) else deployment.store

                suspend fun startEntry(
                    name: String,
                    ownStore: ObjectStore,
                ): StartedDaemon =
                    deployment.start(name, "entry", ownStore = ownStore).also {
                        eventually(10.seconds) { send(it.port, "first-$name")?.status shouldBe 200 }
                    }
                val entries = listOf("entry-1", "entry-2").map { startEntry(it, store) }
                val started = entries + deployment.start("batch-1", "batch", ownStore = store)
                val earlier = ObjectKey("${Membership.KIND}/entry-0")
                deployment.store
                    .get(earlier)
                    .get()
                    ?.let { deployment.store.delete(earlier, it.version) }
                deployment.deregister("t2")
                deployment.register("t1", before.port, version = "v1")
                eventually(10.seconds) { send(entries[0].port, "broken")?.isWhole shouldBe false }
                coroutineScope { started.map { async { it.daemon.drainAndStop() } }.awaitAll() }
                deployment.deregister("t1")
                deployment.register("t2", after.port, version = "v2")
                val entry = startEntry("entry-3", deployment.store)
                eventually(10.seconds) { deployment.store.get(ObjectKey("deployments/first-start")).isOk shouldBe true }
                delay(200.milliseconds)
                val answer = send(entry.port, "again", "Last-Event-Id: 3\r\nResumes: broken\r\n")
                answer?.status shouldBe 503
                after.requests.count { it.startsWith("again ") } shouldBe 0
            }
        }
    })
