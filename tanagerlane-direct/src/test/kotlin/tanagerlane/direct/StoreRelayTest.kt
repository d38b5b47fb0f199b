package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import tanagerlane.message.RelayedCall
import tanagerlane.message.RelayedOutcome
import tanagerlane.message.RelayedReply
import tanagerlane.message.ViewObject
import tanagerlane.model.HostName
import tanagerlane.model.Payload
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

@OptIn(ExperimentalCoroutinesApi::class)
class StoreRelayTest :
    FunSpec({
        test("a process that the object API does not serve waits for the direct timeout once, not in each call") {
            runTest {
                val fleet = FakeRelays(this, relayCount = 3)
                fleet.denyService("caller")
                List(10) { fleet.put("job-items/$it").isOk } shouldBe List(10) { true }
                currentTime shouldBe 120
            }
        }

        test("relays that the object API does not serve either are not tried in each call") {
            runTest {
                val fleet = FakeRelays(this, relayCount = 5)
                fleet.denyService("caller", "helper-0", "helper-1", "helper-2")
                while (!fleet.put("job-items/first").isOk) delay(10.milliseconds)
                val startedAt = currentTime
                List(20) { fleet.put("job-items/$it").isOk } shouldBe List(20) { true }
                currentTime shouldBe startedAt
            }
        }

        test("calls use the direct path again once the object API serves this process again") {
            runTest {
                val fleet = FakeRelays(this, relayCount = 2)
                fleet.denyService("caller")
                fleet.put("job-items/a").isOk shouldBe true
                fleet.denyService()
                delay(1600.milliseconds)
                fleet.put("job-items/b").isOk shouldBe true
                delay(10.milliseconds)
                val relayedBefore = fleet.relayedCalls
                List(5) { fleet.put("job-items/c$it").isOk } shouldBe List(5) { true }
                fleet.relayedCalls shouldBe relayedBefore
            }
        }

        test("a reply to a call of an earlier instance of a process is not taken for one to a later instance") {
            runTest {
                val calls = ArrayList<RelayedCall>()
                val store = FlakyStore(MemoryObjectStore()).also { it.isUnavailable = true }
                val (earlier, later) =
                    List(2) {
                        StoreRelay(
                            store = store,
                            scope = backgroundScope,
                            reachable = { setOf(HostName("helper")) },
                            send = { _, message -> calls += message as RelayedCall },
                            now = { Instant.fromEpochMilliseconds(currentTime) },
                        )
                    }
                backgroundScope.launch { earlier.get(ObjectKey("jobs/a")) }
                delay(10.milliseconds)
                val read = async { later.get(ObjectKey("jobs/b")) }
                delay(10.milliseconds)
                for (call in calls) {
                    val found = ViewObject(call.path, version = 1, value = Payload.of("value of ${call.path}"))
                    later.onReply(RelayedReply(call.call, RelayedOutcome.DONE, version = 0, objects = listOf(found)))
                }
                read.await().map { it.value.toText() } shouldBe Ok("value of jobs/b")
            }
        }

        test("a call is not sent to relays that have just failed") {
            runTest {
                val fleet = FakeRelays(this, relayCount = 2)
                fleet.denyService("caller", "helper-0", "helper-1")
                fleet.put("job-items/a") shouldBe Err(StoreFailure.Unavailable("away"))
                val startedAt = currentTime
                fleet.put("job-items/b") shouldBe Err(StoreFailure.Unavailable("away"))
                currentTime - startedAt shouldBe 500
            }
        }
    })

/** A caller and its potential relays; the object API fails the calls of some of them after half a second. */
@OptIn(ExperimentalCoroutinesApi::class)
private class FakeRelays(
    private val test: TestScope,
    relayCount: Int,
) {
    private val shared = MemoryObjectStore()
    private val stores =
        (List(relayCount) { "helper-$it" } + "caller").associate {
            HostName(it) to FlakyStore(shared, failureDelay = 500.milliseconds)
        }
    private val caller = HostName("caller")
    private val relays: Map<HostName, StoreRelay> = stores.keys.associateWith(::relay)

    /** Number of calls that were sent to relays. */
    var relayedCalls = 0
        private set

    /** Lets the object API fail all calls of [hosts], and serve all other processes. */
    fun denyService(vararg hosts: String) {
        stores.forEach { (host, store) -> store.isUnavailable = host.text in hosts }
    }

    suspend fun put(path: String): Result<ObjectVersion, StoreFailure> =
        relays.getValue(caller).put(ObjectKey(path), Payload.of("x"), null)

    private fun relay(own: HostName): StoreRelay =
        StoreRelay(
            store = stores.getValue(own),
            scope = test.backgroundScope,
            reachable = { stores.keys - own },
            send = { to, message ->
                when (message) {
                    is RelayedCall -> relays.getValue(to).onCall(own, message).also { relayedCalls++ }
                    is RelayedReply -> relays.getValue(to).onReply(message)
                    else -> error("unexpected message: $message")
                }
            },
            now = { Instant.fromEpochMilliseconds(test.currentTime) },
        )
}
