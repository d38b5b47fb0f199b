package tanagerlane.sidecar.orders

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeStrictlyIncreasing
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.Revision
import tanagerlane.model.TargetName
import tanagerlane.orders.FencedOrder
import tanagerlane.orders.OrderDraft
import tanagerlane.orders.OrderHolder
import tanagerlane.orders.OrderOutcome
import tanagerlane.orders.OrderPhase
import tanagerlane.orders.OrderRefusal
import tanagerlane.orders.WantedState
import tanagerlane.runtime.orders.OrderFailure
import tanagerlane.runtime.orders.OrderStore
import tanagerlane.standin.store.MemoryObjectStore
import tanagerlane.standin.store.StoreFaults
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

@OptIn(ExperimentalCoroutinesApi::class)
class OrderExecutorTest :
    FunSpec({
        for (fencing in listOf(true, false)) {
            test("an order is applied once, fencing=$fencing") {
                runTest {
                    val fixture = TestTarget(this, fencing)
                    fixture.startExecutor("host-1", 1)
                    fixture.order("frost", base = 0) shouldBe Ok(Revision(1))
                    fixture.observeAfter(5.seconds) shouldBe Observed(listOf("frost"), emptyList(), OrderPhase.APPLIED)
                }
            }

            for ((host, incarnation) in listOf("host-1" to 2L, "host-2" to 1L)) {
                test(
                    "$host takes over from a killed holder, before the lease ends only if fenced, fencing=$fencing",
                ) {
                    runTest {
                        val fixture = TestTarget(this, fencing)
                        val killed = fixture.startExecutor("host-1", 1, connectDelay = 100.seconds)
                        fixture.order("frost", base = 0)
                        delay(1.seconds)
                        killed.cancel()
                        fixture.startExecutor(host, incarnation)
                        val fenced = fencing && host == "host-1"
                        fixture.observeAfter(13.seconds).accepted shouldBe if (fenced) listOf("frost") else emptyList()
                        fixture.observeAfter(5.seconds) shouldBe
                            Observed(listOf("frost"), emptyList(), OrderPhase.APPLIED)
                    }
                }
            }

            test("a holder that was frozen past the end of its lease sends nothing afterwards, fencing=$fencing") {
                runTest {
                    val fixture = TestTarget(this, fencing)
                    fixture.startExecutor("host-1", 1, connectDelay = 40.seconds)
                    fixture.order("frost", base = 0)
                    delay(1.seconds)
                    fixture.startExecutor("host-2", 1)
                    delay(20.seconds)
                    fixture.order("thaw", base = 1) shouldBe Ok(Revision(2))
                    fixture.observeAfter(40.seconds) shouldBe
                        Observed(listOf("frost", "thaw"), emptyList(), OrderPhase.APPLIED)
                }
            }

            test("an order whose answer was lost is sent again with a higher fencing number, fencing=$fencing") {
                runTest {
                    val fixture = TestTarget(this, fencing)
                    fixture.answersToLose = 1
                    fixture.startExecutor("host-1", 1)
                    fixture.order("frost", base = 0)
                    delay(3.seconds)
                    fixture.order("thaw", base = 1)
                    val expectedEarly = if (fencing) listOf("frost", "thaw") else listOf("frost")
                    fixture.observeAfter(10.seconds).accepted shouldBe expectedEarly
                    fixture.observeAfter(10.seconds) shouldBe
                        Observed(listOf("frost", "thaw"), emptyList(), OrderPhase.APPLIED)
                    fixture.fencingNumbers.shouldBeStrictlyIncreasing()
                }
            }

            test("of two concurrent orders one is stored and the other fails with a conflict, fencing=$fencing") {
                runTest {
                    val fixture = TestTarget(this, fencing)
                    fixture.startExecutor("host-1", 1)
                    val results = listOf("frost", "thaw").map { async { fixture.order(it, base = 0) } }.awaitAll()
                    results shouldContainExactlyInAnyOrder
                        listOf(Ok(Revision(1)), Err(OrderFailure.Conflict(Revision(0), Revision(1))))
                    fixture.observeAfter(5.seconds).accepted.size shouldBe 1
                }
            }

            test("writes whose answers are lost are resolved by reading the order again, fencing=$fencing") {
                runTest {
                    val fixture = TestTarget(this, fencing)
                    fixture.store.faults = StoreFaults(loseAnswers = true)
                    fixture.startExecutor("host-1", 1)
                    fixture.order("frost", base = 0) shouldBe Ok(Revision(1))
                    fixture.observeAfter(5.seconds) shouldBe Observed(listOf("frost"), emptyList(), OrderPhase.APPLIED)
                }
            }

            test(
                "an outcome is stored after an outage of the store and the order is not sent again, fencing=$fencing",
            ) {
                runTest {
                    val fixture = TestTarget(this, fencing)
                    fixture.startExecutor("host-1", 1, connectDelay = 2.seconds)
                    fixture.order("frost", base = 0)
                    delay(1.seconds)
                    fixture.store.faults = StoreFaults(down = true)
                    delay(60.seconds)
                    fixture.store.faults = StoreFaults()
                    fixture.observeAfter(5.seconds) shouldBe Observed(listOf("frost"), emptyList(), OrderPhase.APPLIED)
                }
            }
        }

        test(
            "a write delayed past the end of its lease is refused by a target that checks fencing, and is not recorded",
        ) {
            runTest {
                val fixture = TestTarget(this, checksFencing = true)
                fixture.startExecutor("host-1", 1, delayBeforeWrite = 40.seconds)
                fixture.order("frost", base = 0)
                delay(1.seconds)
                fixture.startExecutor("host-2", 1)
                fixture.observeAfter(60.seconds) shouldBe Observed(listOf("frost"), listOf("frost"), OrderPhase.APPLIED)
            }
        }

        test("an order that the target refuses is recorded with its answer and is not sent again") {
            runTest {
                val fixture = TestTarget(this, checksFencing = false)
                fixture.startExecutor("host-1", 1)
                fixture.order(TestTarget.UNKNOWN_ADAPTER, base = 0)
                fixture.observeAfter(30.seconds) shouldBe
                    Observed(emptyList(), listOf(TestTarget.UNKNOWN_ADAPTER), OrderPhase.REFUSED)
            }
        }
    })

/** Adapters of the orders that the target accepted and refused, and the phase of the stored order. */
private data class Observed(
    val accepted: List<String>,
    val refused: List<String>,
    val phase: OrderPhase?,
)

/** One target with its stored order; order executors run in the background of the test. */
@OptIn(ExperimentalCoroutinesApi::class)
private class TestTarget(
    private val scope: TestScope,
    private val checksFencing: Boolean,
) {
    val store = MemoryObjectStore()
    val fencingNumbers = ArrayList<Long>()
    var answersToLose = 0
    private val target = TargetName("finding-1")
    private val orders = OrderStore(store)
    private val accepted = ArrayList<String>()
    private val refused = ArrayList<String>()

    fun startExecutor(
        host: String,
        incarnation: Long,
        connectDelay: Duration = Duration.ZERO,
        delayBeforeWrite: Duration = Duration.ZERO,
    ): Job {
        val send: OrderCall = { order, timeout, mayWrite ->
            delay(connectDelay)
            val allowed = mayWrite()
            delay(delayBeforeWrite)
            if (allowed) receive(order, timeout) else OrderOutcome.NotSent
        }
        val holder = OrderHolder(HostName(host), Incarnation(incarnation))
        val executor = OrderExecutor(target, holder, store, send, checksFencing = { checksFencing }, now = ::now)
        return scope.backgroundScope.launch { executor.run() }
    }

    suspend fun order(
        adapter: String,
        base: Long,
    ): Result<Revision, OrderFailure> =
        orders.make(OrderDraft(target, "change-$adapter", WantedState(adapter = adapter), Revision(base)))

    suspend fun observeAfter(wait: Duration): Observed {
        delay(wait)
        return Observed(
            accepted.toList(),
            refused.toList(),
            orders
                .read(target)
                .get()
                ?.order
                ?.phase,
        )
    }

    private suspend fun receive(
        order: FencedOrder,
        timeout: Duration,
    ): OrderOutcome {
        val adapter = order.adapter.orEmpty()
        if (adapter == UNKNOWN_ADAPTER || (checksFencing && order.fencing < (fencingNumbers.maxOrNull() ?: 0))) {
            refused += adapter
            return OrderOutcome.Refused(OrderRefusal(CONFLICT, "refused"))
        }
        fencingNumbers += order.fencing
        accepted += adapter
        if (answersToLose > 0) {
            answersToLose -= 1
            delay(timeout)
            return OrderOutcome.Unknown
        }
        return OrderOutcome.Taken
    }

    private fun now(): Instant = Instant.fromEpochMilliseconds(scope.testScheduler.currentTime)

    companion object {
        const val UNKNOWN_ADAPTER = "unknown"
        private const val CONFLICT = 409
    }
}
