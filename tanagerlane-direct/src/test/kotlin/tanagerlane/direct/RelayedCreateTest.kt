package tanagerlane.direct

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import tanagerlane.message.RelayedCall
import tanagerlane.message.RelayedReply
import tanagerlane.model.HostName
import tanagerlane.model.Payload
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Guards against a create that is made directly and through a relay, and fails for certain although it takes effect.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class RelayedCreateTest :
    FunSpec({
        for (isTaken in listOf(false, true)) {
            for (direct in Fate.entries) {
                for (relayed in Fate.entries) {
                    val before = if (isTaken) "another object" else "no object"
                    test("a create claims only what is certain: $before, direct $direct, relayed $relayed") {
                        for (timing in TIMINGS) {
                            withClue(timing) {
                                runTest { claimOf(isTaken, direct, relayed, timing) shouldBe null }
                            }
                        }
                    }
                }
            }
        }

        test("a create that the direct path answers first does not wait for the relay") {
            runTest {
                val timing = Timing(directAnswer = 130.milliseconds, relayedAnswer = 900.milliseconds)
                create(MemoryObjectStore(), Fate.ANSWERED, Fate.ANSWERED, timing).isOk shouldBe true
                currentTime shouldBe 130
            }
        }
    })

/** What becomes of one attempt at a create. */
private enum class Fate {
    ANSWERED,
    REFUSED,
    TOO_LARGE,

    /** It takes effect, and the answer is lost. */
    ANSWER_LOST,

    /** It is lost before it takes effect. */
    CALL_LOST,

    /** Its answer is lost, and it takes effect when all answers have arrived. */
    DELAYED,
}

/** Times from the start of an attempt until it takes effect, and until its answer arrives. */
private data class Timing(
    val directEffect: Duration = Duration.ZERO,
    val directAnswer: Duration,
    val relayedEffect: Duration = Duration.ZERO,
    val relayedAnswer: Duration,
)

/** Time after which an answer of a relay comes too late. */
private val SILENCE = 2.seconds

/** Orders of both effects and both answers; the relayed attempt starts 120 ms after the direct one. */
private val TIMINGS =
    listOf(
        Timing(directAnswer = 240.milliseconds, relayedAnswer = 20.milliseconds),
        Timing(directAnswer = 240.milliseconds, relayedAnswer = 240.milliseconds),
        Timing(directEffect = 200.milliseconds, directAnswer = 240.milliseconds, relayedAnswer = 20.milliseconds),
        Timing(directEffect = 200.milliseconds, directAnswer = 240.milliseconds, relayedAnswer = 240.milliseconds),
        Timing(directAnswer = 60.milliseconds, relayedAnswer = 20.milliseconds),
        Timing(directAnswer = 240.milliseconds, relayedAnswer = SILENCE),
        Timing(directAnswer = SILENCE, relayedAnswer = 20.milliseconds),
    )

private val KEY = ObjectKey("jobs/card.a")
private val OWN = Payload.of("own")
private val OTHER = Payload.of("other")

/** Returns the claim of a create that is false or less than what is known, or null if it claims just what is certain. */
private suspend fun TestScope.claimOf(
    isTaken: Boolean,
    direct: Fate,
    relayed: Fate,
    timing: Timing,
): Result<ObjectVersion, StoreFailure>? {
    val shared = MemoryObjectStore()
    if (isTaken) shared.put(KEY, OTHER, null)
    val claim = create(shared, direct, relayed, timing)
    delay(5.seconds)
    val stored = shared.get(KEY).get()?.value
    val isRight =
        claim.fold({ stored == OWN }) {
            when (it) {
                is StoreFailure.Conflict -> {
                    stored == OTHER
                }

                is StoreFailure.OutcomeUnknown -> {
                    timing.relayedAnswer == SILENCE ||
                        maxOf(direct, relayed) > Fate.TOO_LARGE
                }

                else -> {
                    stored != OWN
                }
            }
        }
    return claim.takeUnless { isRight }
}

@OptIn(ExperimentalCoroutinesApi::class)
private suspend fun TestScope.create(
    shared: ObjectStore,
    direct: Fate,
    relayed: Fate,
    timing: Timing,
): Result<ObjectVersion, StoreFailure> {
    val stores =
        mapOf(
            HostName("caller") to FatedStore(backgroundScope, shared, direct, timing.directEffect, timing.directAnswer),
            HostName("helper") to
                FatedStore(backgroundScope, shared, relayed, timing.relayedEffect, timing.relayedAnswer),
        )
    val relays = HashMap<HostName, StoreRelay>()
    stores.forEach { (own, store) ->
        relays[own] =
            StoreRelay(
                store = store,
                scope = backgroundScope,
                reachable = { stores.keys - own },
                send = { to, message ->
                    val relay = relays.getValue(to)
                    if (message is RelayedCall) relay.onCall(own, message) else relay.onReply(message as RelayedReply)
                },
                now = { Instant.fromEpochMilliseconds(currentTime) },
            )
    }
    return relays.getValue(HostName("caller")).put(KEY, OWN, null)
}

/** An object API whose creates have one [fate]. */
private class FatedStore(
    private val scope: CoroutineScope,
    private val store: ObjectStore,
    private val fate: Fate,
    private val effectAfter: Duration,
    private val answerAfter: Duration,
) : ObjectStore by store {
    override suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> {
        delay(effectAfter)
        val outcome =
            when (fate) {
                Fate.ANSWERED -> store.put(key, value, expected)
                Fate.REFUSED -> Err(StoreFailure.Unavailable("busy"))
                Fate.TOO_LARGE -> Err(StoreFailure.TooLarge(key))
                Fate.ANSWER_LOST -> store.put(key, value, expected).let { Err(LOST) }
                Fate.CALL_LOST, Fate.DELAYED -> Err(LOST)
            }
        delay(answerAfter - effectAfter)
        if (fate == Fate.DELAYED) {
            scope.launch {
                delay(DELAY)
                store.put(key, value, expected)
            }
        }
        return outcome
    }

    private companion object {
        val LOST = StoreFailure.OutcomeUnknown("lost")
        val DELAY = 2.seconds
    }
}
