package tanagerlane.direct

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import tanagerlane.model.Payload
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RunnerStopTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        test("a runner stops only after the store calls that it relays for other processes have ended") {
            val target = FakeTarget(vertx, "t1").start()
            val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
            val entryStore = FlakyStore(deployment.store)
            val runnerStore = SlowWriteStore(deployment.store, prefix = "job", time = 800.milliseconds)
            val entry = deployment.start("entry-1", "entry", ownStore = entryStore)
            val runner = deployment.start("batch-1", "batch", ownStore = runnerStore)
            withContext(Dispatchers.IO) {
                eventually(10.seconds) {
                    KeepAliveConnection(entry.port).use { it.send("/streams/1", "first") } shouldBe 200
                }
            }
            delay(DISCOVERY_TIME)
            entryStore.isUnavailable = true
            coroutineScope {
                val accepted =
                    async(Dispatchers.IO) { KeepAliveConnection(entry.port).use { it.send("/jobs/", "job-1") } }
                eventually(10.seconds) { runnerStore.open.get() shouldBe 1 }
                runner.daemon.drainAndStop()
                val openAtEnd = runnerStore.open.get()
                accepted.await()
                openAtEnd shouldBe 0
            }
        }

        test("store calls are not relayed to a process that is stopping") {
            val target = FakeTarget(vertx, "t1").start()
            val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
            val entryStore = FlakyStore(deployment.store)
            val leavingStore = SlowWriteStore(deployment.store, prefix = "job", time = 0.milliseconds)
            val entry = deployment.start("entry-1", "entry", ownStore = entryStore)
            val leaving = deployment.start("batch-1", "batch", ownStore = leavingStore)
            delay(DISCOVERY_TIME)

            suspend fun submit(job: String) =
                withContext(Dispatchers.IO) { KeepAliveConnection(entry.port).use { it.send("/jobs/", job) } }
            entryStore.isUnavailable = true
            submit("job-1") shouldBe 202
            entryStore.isUnavailable = false
            deployment.start("batch-2", "batch")
            delay(DISCOVERY_TIME)
            leaving.daemon.drainAndStop()
            delay(LEAVING_NOTICE_TIME)
            val startedBefore = leavingStore.started.get()
            entryStore.isUnavailable = true
            submit("job-2") shouldBe 202
            leavingStore.started.get() shouldBe startedBefore
        }

        test("a process that has stopped is not registered again") {
            val target = FakeTarget(vertx, "t1").start()
            val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
            val runner = deployment.start("batch-1", "batch")

            suspend fun registered() =
                deployment.store
                    .list("members/")
                    .getOrElse { error("$it") }
                    .objects
                    .map { it.key.path }
            eventually(10.seconds) { registered() shouldBe listOf("members/batch-1") }
            delay(DISCOVERY_TIME)
            runner.daemon.drainAndStop()
            delay(LEAVING_NOTICE_TIME)
            registered() shouldBe emptyList()
        }
    }) {
    private companion object {
        /** Time within which an entry and a runner discover each other. */
        val DISCOVERY_TIME = 2.seconds

        /** Time within which a process learns that another one is leaving. */
        val LEAVING_NOTICE_TIME = 500.milliseconds
    }
}

/** An object API whose writes below [prefix] take [time]. */
private class SlowWriteStore(
    private val store: ObjectStore,
    private val prefix: String,
    private val time: Duration,
) : ObjectStore by store {
    /** Number of writes in progress. */
    val open = AtomicInteger()

    /** Number of writes that were started. */
    val started = AtomicInteger()

    override suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> {
        if (!key.path.startsWith(prefix)) {
            return store.put(key, value, expected)
        }
        started.incrementAndGet()
        open.incrementAndGet()
        try {
            delay(time)
            return store.put(key, value, expected)
        } finally {
            open.decrementAndGet()
        }
    }
}
