package tanagerlane.sidecar

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import tanagerlane.idempotency.IdempotencyKey
import tanagerlane.message.Offer
import tanagerlane.message.Repeat
import tanagerlane.message.ServiceWork
import tanagerlane.model.AttemptId
import tanagerlane.model.Incarnation
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestClass
import tanagerlane.model.RequestId
import tanagerlane.model.RunState
import tanagerlane.model.ServiceName
import tanagerlane.model.TargetName
import tanagerlane.model.WorkspaceName
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.standin.store.StoreFaults
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

@OptIn(ExperimentalCoroutinesApi::class)
class DeduplicatingRunnerTest :
    FunSpec({
        val complete = ReceivedAnswer(status = 200, body = "booked", refusal = null)
        val conflict = refused(RunState.NOT_RUN, RefusalReason.CONFLICT)
        val storeDown = refused(RunState.NOT_RUN, RefusalReason.STORE_UNAVAILABLE)
        val unknown = refused(RunState.UNKNOWN, RefusalReason.OUTCOME_UNKNOWN)

        for (idempotent in listOf(true, false)) {
            test("concurrent repeats share one run, idempotent=$idempotent") {
                runTest {
                    val sidecar = HomeSidecar(this)
                    val answers = (1..5).map { async { sidecar.send("request-$it", idempotent) } }.awaitAll()
                    answers shouldBe List(5) { complete }
                    sidecar.runs.size shouldBe 1
                }
            }

            test("a later repeat receives the first answer, idempotent=$idempotent") {
                runTest {
                    val sidecar = HomeSidecar(this)
                    sidecar.send("request-1", idempotent) shouldBe complete
                    sidecar.send("request-2", idempotent) shouldBe complete
                    sidecar.runs shouldBe listOf("request-1")
                }
            }

            test("the same key with other content is refused, idempotent=$idempotent") {
                runTest {
                    val sidecar = HomeSidecar(this)
                    sidecar.send("request-1", idempotent) shouldBe complete
                    sidecar.send("request-2", idempotent, content = "other") shouldBe conflict
                    sidecar.runs shouldBe listOf("request-1")
                }
            }
        }

        test("a call that must not be repeated is not run if its claim can't be stored") {
            runTest {
                val sidecar = HomeSidecar(this)
                sidecar.store.faults = StoreFaults(down = true)
                sidecar.send("request-1", idempotent = false) shouldBe storeDown
                sidecar.runs shouldBe emptyList()
            }
        }

        test("a call that must not be repeated runs once even if the store's answer to its claim is lost") {
            runTest {
                val sidecar = HomeSidecar(this)
                sidecar.store.faults = StoreFaults(loseAnswers = true)
                sidecar.send("request-1", idempotent = false) shouldBe complete
                sidecar.send("request-2", idempotent = false) shouldBe complete
                sidecar.runs shouldBe listOf("request-1")
            }
        }

        test("a call whose home sidecar was lost while it ran is not run again and its outcome is unknown") {
            runTest {
                val killed = HomeSidecar(this, answers = false)
                val first = async { killed.send("request-1", idempotent = false) }
                testScheduler.advanceTimeBy(5.seconds)
                first.cancel()
                val next = HomeSidecar(this, store = killed.store, target = "orders-2")
                next.send("request-2", idempotent = false) shouldBe unknown
                killed.runs + next.runs shouldContainExactlyInAnyOrder listOf("request-1")
            }
        }
    })

/** Answer or refusal that a caller received. */
private data class ReceivedAnswer(
    val status: Int?,
    val body: String,
    val refusal: Refusal?,
)

private data class Refusal(
    val runState: RunState,
    val reason: RefusalReason,
)

private fun refused(
    runState: RunState,
    reason: RefusalReason,
) = ReceivedAnswer(status = null, body = "", refusal = Refusal(runState, reason))

/** A home sidecar in front of a target that takes 1 s for each call, or 1,000 s if [answers] is false. */
@OptIn(ExperimentalCoroutinesApi::class)
private class HomeSidecar(
    private val scope: TestScope,
    val store: MemoryObjectStore = MemoryObjectStore(),
    target: String = "orders-1",
    private val answers: Boolean = true,
) {
    val runs = ArrayList<String>()
    private val owner = TargetName(target)
    private val incarnation = Incarnation(1)
    private val runner =
        DeduplicatingRunner(owner, incarnation, ClaimCoordinator(owner, incarnation, store, ::now), ::call, ::now)

    suspend fun send(
        request: String,
        idempotent: Boolean,
        content: String = "content",
    ): ReceivedAnswer {
        var received = ReceivedAnswer(status = null, body = "", refusal = null)
        val sink =
            AnswerSink(
                begin = { true },
                head = { status, _ -> received = received.copy(status = status) },
                bytes = { received = received.copy(body = received.body + it.toText()) },
                end = { },
                fail = { runState, reason -> received = received.copy(refusal = Refusal(runState, reason)) },
            )
        runner.run(offer(request, idempotent, content), sink)
        return received
    }

    private suspend fun call(
        offer: Offer,
        sink: AnswerSink,
    ) {
        runs += offer.attempt.request.text
        delay(if (answers) 1.seconds else 1_000.seconds)
        sink.head(200, emptyList())
        sink.bytes(Payload.of("booked"))
        sink.end()
    }

    private fun now(): Instant = Instant.fromEpochMilliseconds(scope.testScheduler.currentTime)

    private fun offer(
        request: String,
        idempotent: Boolean,
        content: String,
    ) = Offer(
        attempt = AttemptId(RequestId(request), 1),
        workspace = WorkspaceName("clinic"),
        requestClass = RequestClass.ONLINE,
        idempotent = idempotent,
        remaining = 10.seconds,
        work = ServiceWork(ServiceName("orders-desk"), "POST", "/orders", emptyList(), Payload.of(content)),
        expectedIncarnation = null,
        repeat = Repeat(IdempotencyKey("key-1"), Payload.of(content)),
    )
}
