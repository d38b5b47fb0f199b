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

        test("a runner does not end before the calls that it makes for other processes have") {
            val target = FakeTarget(vertx, "t1").start()
            val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
            val entryStore = FlakyStore(deployment.store)
            val runnerStore = SlowWrites(deployment.store, prefix = "job", time = 800.milliseconds)
            val entry = deployment.start("entry-1", "entry", ownStore = entryStore)
            val runner = deployment.start("batch-1", "batch", ownStore = runnerStore)
            withContext(Dispatchers.IO) {
                eventually(10.seconds) {
                    KeepAliveConnection(entry.port).use { it.send("/streams/1", "first") } shouldBe 200
                }
            }
            delay(PEERS_TIME)
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

        test("a call of the object API is not handed on to a process that is about to end") {
            val target = FakeTarget(vertx, "t1").start()
            val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
            val entryStore = FlakyStore(deployment.store)
            val leavingStore = SlowWrites(deployment.store, prefix = "job", time = 0.milliseconds)
            val entry = deployment.start("entry-1", "entry", ownStore = entryStore)
            val leaving = deployment.start("batch-1", "batch", ownStore = leavingStore)
            delay(PEERS_TIME)

            suspend fun submit(job: String) =
                withContext(Dispatchers.IO) { KeepAliveConnection(entry.port).use { it.send("/jobs/", job) } }
            entryStore.isUnavailable = true
            submit("job-1") shouldBe 202
            entryStore.isUnavailable = false
            deployment.start("batch-2", "batch")
            delay(PEERS_TIME)
            leaving.daemon.drainAndStop()
            delay(NOTICE_TIME)
            val madeBefore = leavingStore.made.get()
            entryStore.isUnavailable = true
            submit("job-2") shouldBe 202
            leavingStore.made.get() shouldBe madeBefore
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
            delay(PEERS_TIME)
            runner.daemon.drainAndStop()
            delay(NOTICE_TIME)
            registered() shouldBe emptyList()
        }
    }) {
    private companion object {
        /** Time in which an entry and a runner hear of each other. */
        val PEERS_TIME = 2.seconds

        /** Time in which a process hears that another one is leaving. */
        val NOTICE_TIME = 500.milliseconds
    }
}

/** An object API whose writes below [prefix] take [time]. */
private class SlowWrites(
    private val store: ObjectStore,
    private val prefix: String,
    private val time: Duration,
) : ObjectStore by store {
    /** Writes that have not ended. */
    val open = AtomicInteger()

    /** Writes that have begun. */
    val made = AtomicInteger()

    override suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> {
        if (!key.path.startsWith(prefix)) {
            return store.put(key, value, expected)
        }
        made.incrementAndGet()
        open.incrementAndGet()
        try {
            delay(time)
            return store.put(key, value, expected)
        } finally {
            open.decrementAndGet()
        }
    }
}
