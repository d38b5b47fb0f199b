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
class RepeatRunnerTest :
    FunSpec({
        val whole = Heard(status = 200, body = "booked", refusal = null)
        val conflict = refused(RunState.NOT_RUN, RefusalReason.CONFLICT)
        val storeDown = refused(RunState.NOT_RUN, RefusalReason.STORE_UNAVAILABLE)
        val unknown = refused(RunState.UNKNOWN, RefusalReason.OUTCOME_UNKNOWN)

        for (idempotent in listOf(true, false)) {
            test("repeats that come together share one run, idempotent=$idempotent") {
                runTest {
                    val home = Home(this)
                    val answers = (1..5).map { async { home.send("request-$it", idempotent) } }.awaitAll()
                    answers shouldBe List(5) { whole }
                    home.runs.size shouldBe 1
                }
            }

            test("a repeat that comes later hears the first answer, idempotent=$idempotent") {
                runTest {
                    val home = Home(this)
                    home.send("request-1", idempotent) shouldBe whole
                    home.send("request-2", idempotent) shouldBe whole
                    home.runs shouldBe listOf("request-1")
                }
            }

            test("the same key with other content is refused, idempotent=$idempotent") {
                runTest {
                    val home = Home(this)
                    home.send("request-1", idempotent) shouldBe whole
                    home.send("request-2", idempotent, content = "other") shouldBe conflict
                    home.runs shouldBe listOf("request-1")
                }
            }
        }

        test("a call that may not be repeated is not run while its claim can't be agreed") {
            runTest {
                val home = Home(this)
                home.store.faults = StoreFaults(down = true)
                home.send("request-1", idempotent = false) shouldBe storeDown
                home.runs shouldBe emptyList()
            }
        }

        test("a call that may not be repeated runs once though the answer to its claim is lost") {
            runTest {
                val home = Home(this)
                home.store.faults = StoreFaults(loseAnswers = true)
                home.send("request-1", idempotent = false) shouldBe whole
                home.send("request-2", idempotent = false) shouldBe whole
                home.runs shouldBe listOf("request-1")
            }
        }

        test("after its home was lost while it ran, a call is not run again and its outcome is unknown") {
            runTest {
                val lost = Home(this, answers = false)
                val first = async { lost.send("request-1", idempotent = false) }
                testScheduler.advanceTimeBy(5.seconds)
                first.cancel()
                val next = Home(this, store = lost.store, target = "orders-2")
                next.send("request-2", idempotent = false) shouldBe unknown
                lost.runs + next.runs shouldContainExactlyInAnyOrder listOf("request-1")
            }
        }
    })

/** What a caller heard. */
private data class Heard(
    val status: Int?,
    val body: String,
    val refusal: Refused?,
)

private data class Refused(
    val runState: RunState,
    val reason: RefusalReason,
)

private fun refused(
    runState: RunState,
    reason: RefusalReason,
) = Heard(status = null, body = "", refusal = Refused(runState, reason))

/** A home sidecar before a target that takes a second for each call, or never answers. */
@OptIn(ExperimentalCoroutinesApi::class)
private class Home(
    private val scope: TestScope,
    val store: MemoryObjectStore = MemoryObjectStore(),
    target: String = "orders-1",
    private val answers: Boolean = true,
) {
    val runs = ArrayList<String>()
    private val owner = TargetName(target)
    private val incarnation = Incarnation(1)
    private val runner =
        RepeatRunner(owner, incarnation, ClaimKeeper(owner, incarnation, store, ::now), ::call, ::now)

    suspend fun send(
        request: String,
        idempotent: Boolean,
        content: String = "content",
    ): Heard {
        var heard = Heard(status = null, body = "", refusal = null)
        val sink =
            AnswerSink(
                begin = { true },
                head = { status, _ -> heard = heard.copy(status = status) },
                bytes = { heard = heard.copy(body = heard.body + it.toText()) },
                end = { },
                fail = { runState, reason -> heard = heard.copy(refusal = Refused(runState, reason)) },
            )
        runner.run(offer(request, idempotent, content), sink)
        return heard
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
