package tanagerlane.jobs

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.runTest
import tanagerlane.model.Payload
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a write that fails for certain although an earlier try has taken effect, or takes effect later. */
class SettledWritesTest :
    FunSpec({
        for (before in Before.entries) {
            for (first in PutFate.entries) {
                test("a write claims only what is certain: $before, first put $first") {
                    for (steps in sequences(TRIES).filter { it.first().put == first }) {
                        withClue(steps) { runTest { falseClaim(before, steps) shouldBe null } }
                    }
                }
            }
        }

        val answered = Step(PutFate.ANSWERED, isRead = true)
        val down = Step(PutFate.REFUSED, isRead = false)
        listOf(
            listOf(down) to "Unavailable",
            listOf(answered) to "Conflict",
            listOf(Step(PutFate.ANSWERED, isRead = false), down) to "OutcomeUnknown",
            listOf(Step(PutFate.ANSWERED, isRead = false), answered) to "Conflict",
            listOf(Step(PutFate.CALL_LOST, isRead = false), down) to "OutcomeUnknown",
        ).forEach { (steps, claim) ->
            test("a write where another object is in place claims $claim after $steps") {
                runTest { write(Before.TAKEN, steps).second.fold({ "" }, { it::class.simpleName }) shouldBe claim }
            }
        }
    })

private const val TRIES = 3
private val KEY = ObjectKey("jobs/card.a")
private val OWN = Payload.of("own")
private val OTHER = Payload.of("other")

private enum class Before { ABSENT, TAKEN, REPLACED }

/** What becomes of one put. */
private enum class PutFate {
    ANSWERED,
    REFUSED,
    TOO_LARGE,

    /** It is made twice, and the answer is that of the second call. */
    REPEATED,

    /** It takes effect, and the answer is lost. */
    ANSWER_LOST,

    /** It is lost before it takes effect. */
    CALL_LOST,

    /** Its answer is lost, and it takes effect after all calls. */
    DELAYED,
}

/** One put, and whether the read that follows it is answered. */
private data class Step(
    val put: PutFate,
    val isRead: Boolean,
)

private val STEPS = PutFate.entries.flatMap { listOf(Step(it, isRead = true), Step(it, isRead = false)) }

private fun sequences(length: Int): List<List<Step>> =
    if (length == 0) listOf(emptyList()) else sequences(length - 1).flatMap { start -> STEPS.map { start + it } }

private suspend fun write(
    before: Before,
    steps: List<Step>,
): Pair<Payload?, Result<ObjectVersion, StoreFailure>> {
    val shared = MemoryObjectStore()
    val written = if (before == Before.ABSENT) null else shared.put(KEY, OTHER, null).get()
    val store = ScriptedStore(shared, steps)
    val claim = store.putSettled(KEY, OWN, written.takeIf { before == Before.REPLACED }, 100.milliseconds, steps.size)
    store.executeDelayed()
    return shared.get(KEY).get()?.value to claim
}

/** Returns the claim of a write if it is false, or if it is in doubt although nothing has been lost. */
private suspend fun falseClaim(
    before: Before,
    steps: List<Step>,
): Result<ObjectVersion, StoreFailure>? {
    val (stored, claim) = write(before, steps)
    val isRight =
        claim.fold({ stored == OWN }) {
            when (it) {
                is StoreFailure.OutcomeUnknown -> steps.any { step -> step.put > PutFate.TOO_LARGE || !step.isRead }
                else -> stored != OWN
            }
        }
    return claim.takeUnless { isRight }
}

/** An object API whose puts and reads have the fates of [steps], one after the other. */
private class ScriptedStore(
    private val store: ObjectStore,
    private val steps: List<Step>,
) : ObjectStore by store {
    private var puts = 0
    private val delayed = ArrayList<suspend () -> Unit>()

    suspend fun executeDelayed() = delayed.forEach { it() }

    override suspend fun get(key: ObjectKey): Result<StoredObject, StoreFailure> =
        if (steps[puts - 1].isRead) store.get(key) else Err(StoreFailure.Unavailable("busy"))

    override suspend fun put(
        key: ObjectKey,
        value: Payload,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> {
        val make = suspend { store.put(key, value, expected) }
        return when (steps[puts++].put) {
            PutFate.ANSWERED -> make()
            PutFate.REFUSED -> Err(StoreFailure.Unavailable("busy"))
            PutFate.TOO_LARGE -> Err(StoreFailure.TooLarge(key))
            PutFate.REPEATED -> make().let { make() }
            PutFate.ANSWER_LOST -> make().let { Err(LOST) }
            PutFate.CALL_LOST -> Err(LOST)
            PutFate.DELAYED -> Err(LOST).also { delayed += { make() } }
        }
    }

    private companion object {
        val LOST = StoreFailure.OutcomeUnknown("lost")
    }
}
