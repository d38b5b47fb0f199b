package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import tanagerlane.message.RelayedCall
import tanagerlane.message.RelayedReply
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
        test("a process that is turned away waits for the object API once, not with each call") {
            runTest {
                val fleet = FakeRelays(this, helpers = 3)
                fleet.turnAway("caller")
                List(10) { fleet.put("job-items/$it").isOk } shouldBe List(10) { true }
                currentTime shouldBe 120
            }
        }

        test("helpers that are turned away too are not asked with each call") {
            runTest {
                val fleet = FakeRelays(this, helpers = 5)
                fleet.turnAway("caller", "helper-0", "helper-1", "helper-2")
                while (!fleet.put("job-items/first").isOk) delay(10.milliseconds)
                val begun = currentTime
                List(20) { fleet.put("job-items/$it").isOk } shouldBe List(20) { true }
                currentTime shouldBe begun
            }
        }

        test("calls go by the own path again once the object API serves this process again") {
            runTest {
                val fleet = FakeRelays(this, helpers = 2)
                fleet.turnAway("caller")
                fleet.put("job-items/a").isOk shouldBe true
                fleet.turnAway()
                delay(1600.milliseconds)
                fleet.put("job-items/b").isOk shouldBe true
                delay(10.milliseconds)
                val before = fleet.relayed
                List(5) { fleet.put("job-items/c$it").isOk } shouldBe List(5) { true }
                fleet.relayed shouldBe before
            }
        }

        test("a call is not handed on to helpers that could not help a moment ago") {
            runTest {
                val fleet = FakeRelays(this, helpers = 2)
                fleet.turnAway("caller", "helper-0", "helper-1")
                fleet.put("job-items/a") shouldBe Err(StoreFailure.Unavailable("away"))
                val begun = currentTime
                fleet.put("job-items/b") shouldBe Err(StoreFailure.Unavailable("away"))
                currentTime - begun shouldBe 500
            }
        }
    })

/** A caller and the processes that help it, some of which the object API turns away after half a second. */
@OptIn(ExperimentalCoroutinesApi::class)
private class FakeRelays(
    private val test: TestScope,
    helpers: Int,
) {
    private val shared = MemoryObjectStore()
    private val stores =
        (List(helpers) { "helper-$it" } + "caller").associate {
            HostName(it) to FlakyStore(shared, failureDelay = 500.milliseconds)
        }
    private val caller = HostName("caller")
    private val relays: Map<HostName, StoreRelay> = stores.keys.associateWith(::relay)

    /** Calls that other processes were asked to make. */
    var relayed = 0
        private set

    /** Lets the object API turn just [hosts] away. */
    fun turnAway(vararg hosts: String) {
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
                    is RelayedCall -> relays.getValue(to).onCall(own, message).also { relayed++ }
                    is RelayedReply -> relays.getValue(to).onReply(message)
                    else -> error("unexpected message $message")
                }
            },
            now = { Instant.fromEpochMilliseconds(test.currentTime) },
        )
}
