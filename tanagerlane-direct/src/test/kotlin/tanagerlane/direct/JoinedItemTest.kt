package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import tanagerlane.direct.FakeTarget.EarlyEnd
import tanagerlane.direct.FakeTarget.EndKind
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against texts of items that go on at a target which has started again with another version. */
class JoinedItemTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        test("an item's text is not joined: its target starts again while the processes are cut off") {
            val target = FakeTarget(vertx, "t1", version = "v1").start()
            val deployment = FakeDeployment(vertx, listOf(target)).also { it.prepare() }
            val store = FlakyStore(deployment.store)
            val entry = deployment.start("entry-1", "entry", ownStore = store)
            deployment.start("batch-1", "batch", ownStore = store)

            suspend fun send(
                path: String,
                id: String,
                body: String = "",
            ) = withContext(Dispatchers.IO) { RawCaller.send(entry.port, path, id, body = body) }
            eventually(10.seconds) { send("/ready", "r")?.status shouldBe 200 }
            target.endsEarly = { EarlyEnd(events = 3, delayMilliseconds = 2500, kind = EndKind.CUT) }
            send("/jobs/x", "job-1", "i1")?.status shouldBe 202
            eventually(8.seconds) { target.runs.size shouldBe 1 }
            store.isUnavailable = true
            // A watch that has begun is still answered.
            delay(1100.milliseconds)
            deployment.deregister("t1")
            deployment.register("t1", target.port, version = "v2")
            target.endsEarly = { null }
            delay(3.seconds)
            target.requests shouldNotContain "i1 after 3"
        }
    })
