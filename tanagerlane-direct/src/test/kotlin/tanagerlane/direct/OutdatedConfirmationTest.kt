package tanagerlane.direct

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import tanagerlane.direct.FakeTarget.EarlyEnd
import tanagerlane.direct.FakeTarget.EndKind
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against streams that go on by a confirmation of the targets from before they have waited for a place. */
class OutdatedConfirmationTest :
    FunSpec({
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        test("a stream that waits for a place is not joined: its target starts again while the entry is cut off") {
            val full = FakeTarget(vertx, "t1", pauseMilliseconds = 400, version = "v1").start()
            val breaking = FakeTarget(vertx, "t2", version = "v1").start()
            breaking.endsEarly = { EarlyEnd(events = 3, delayMilliseconds = 700, kind = EndKind.CUT) }
            val deployment = FakeDeployment(vertx, listOf(full)).also { it.prepare() }
            val store = FlakyStore(deployment.store)
            val entry = deployment.start("entry-1", "entry", ownStore = store, waiting = true)
            eventually(10.seconds) { RawCaller.send(entry.port, "/ready", "r")?.status shouldBe 200 }

            fun send(id: String) = RawCaller.send(entry.port, "/streams/1", id)
            coroutineScope {
                val others = List(PLACES) { async(Dispatchers.IO) { send("other-$it") } }
                eventually(2.seconds) { full.running shouldBe PLACES }
                deployment.register("t2", breaking.port, version = "v1")
                delay(1.seconds)
                val stream = async(Dispatchers.IO) { send("first") }
                eventually(1.seconds) { breaking.runs.size shouldBe 1 }
                deployment.deregister("t2")
                delay(850.milliseconds)
                store.isUnavailable = true
                // A watch that has begun is still answered.
                delay(1100.milliseconds)
                deployment.deregister("t1")
                deployment.register("t1", full.port, version = "v2")
                others.awaitAll().map { it?.status } shouldBe List(PLACES) { 200 }
                delay(300.milliseconds)
                full.requests shouldNotContain "first after 3"
                stream.await()?.isWhole shouldBe false
            }
        }
    }) {
    private companion object {
        const val PLACES = 4
    }
}
