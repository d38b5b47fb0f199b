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
class OrderKeeperTest :
    FunSpec({
        for (checks in listOf(true, false)) {
            test("an order is applied once, checks=$checks") {
                runTest {
                    val site = Site(this, checks)
                    site.keeper("host-1", 1)
                    site.order("frost", base = 0) shouldBe Ok(Revision(1))
                    site.after(5.seconds) shouldBe Seen(listOf("frost"), emptyList(), OrderPhase.APPLIED)
                }
            }

            for ((host, incarnation) in listOf("host-1" to 2L, "host-2" to 1L)) {
                test("$host takes over from a killed holder, never within its lease unless fenced, checks=$checks") {
                    runTest {
                        val site = Site(this, checks)
                        val lost = site.keeper("host-1", 1, connect = 100.seconds)
                        site.order("frost", base = 0)
                        delay(1.seconds)
                        lost.cancel()
                        site.keeper(host, incarnation)
                        val fenced = checks && host == "host-1"
                        site.after(13.seconds).taken shouldBe if (fenced) listOf("frost") else emptyList()
                        site.after(5.seconds) shouldBe Seen(listOf("frost"), emptyList(), OrderPhase.APPLIED)
                    }
                }
            }

            test("a holder frozen past its lease sends nothing after waking, checks=$checks") {
                runTest {
                    val site = Site(this, checks)
                    site.keeper("host-1", 1, connect = 40.seconds)
                    site.order("frost", base = 0)
                    delay(1.seconds)
                    site.keeper("host-2", 1)
                    delay(20.seconds)
                    site.order("thaw", base = 1) shouldBe Ok(Revision(2))
                    site.after(40.seconds) shouldBe Seen(listOf("frost", "thaw"), emptyList(), OrderPhase.APPLIED)
                }
            }

            test("an order whose answer was lost is sent again under a higher number, checks=$checks") {
                runTest {
                    val site = Site(this, checks)
                    site.answersToLose = 1
                    site.keeper("host-1", 1)
                    site.order("frost", base = 0)
                    delay(3.seconds)
                    site.order("thaw", base = 1)
                    val early = if (checks) listOf("frost", "thaw") else listOf("frost")
                    site.after(10.seconds).taken shouldBe early
                    site.after(10.seconds) shouldBe Seen(listOf("frost", "thaw"), emptyList(), OrderPhase.APPLIED)
                    site.numbers.shouldBeStrictlyIncreasing()
                }
            }

            test("of two operators racing one makes the order and the other hears a conflict, checks=$checks") {
                runTest {
                    val site = Site(this, checks)
                    site.keeper("host-1", 1)
                    val made = listOf("frost", "thaw").map { async { site.order(it, base = 0) } }.awaitAll()
                    made shouldContainExactlyInAnyOrder
                        listOf(Ok(Revision(1)), Err(OrderFailure.Conflict(Revision(0), Revision(1))))
                    site.after(5.seconds).taken.size shouldBe 1
                }
            }

            test("lost answers of the store are settled by reading back, checks=$checks") {
                runTest {
                    val site = Site(this, checks)
                    site.store.faults = StoreFaults(loseAnswers = true)
                    site.keeper("host-1", 1)
                    site.order("frost", base = 0) shouldBe Ok(Revision(1))
                    site.after(5.seconds) shouldBe Seen(listOf("frost"), emptyList(), OrderPhase.APPLIED)
                }
            }

            test("an outcome waits for a store that is down and is not sent again, checks=$checks") {
                runTest {
                    val site = Site(this, checks)
                    site.keeper("host-1", 1, connect = 2.seconds)
                    site.order("frost", base = 0)
                    delay(1.seconds)
                    site.store.faults = StoreFaults(down = true)
                    delay(60.seconds)
                    site.store.faults = StoreFaults()
                    site.after(5.seconds) shouldBe Seen(listOf("frost"), emptyList(), OrderPhase.APPLIED)
                }
            }
        }

        test("a write held up past its lease is refused by a target that checks, and stays unrecorded") {
            runTest {
                val site = Site(this, checks = true)
                site.keeper("host-1", 1, frozenBeforeWrite = 40.seconds)
                site.order("frost", base = 0)
                delay(1.seconds)
                site.keeper("host-2", 1)
                site.after(60.seconds) shouldBe Seen(listOf("frost"), listOf("frost"), OrderPhase.APPLIED)
            }
        }

        test("an order that the target refuses is recorded with its answer and not sent again") {
            runTest {
                val site = Site(this, checks = false)
                site.keeper("host-1", 1)
                site.order(Site.UNKNOWN_ADAPTER, base = 0)
                site.after(30.seconds) shouldBe Seen(emptyList(), listOf(Site.UNKNOWN_ADAPTER), OrderPhase.REFUSED)
            }
        }
    })

/** Adapters of orders that the target took and refused, and how far the stored order has come. */
private data class Seen(
    val taken: List<String>,
    val refused: List<String>,
    val phase: OrderPhase?,
)

/** One target with its stored order; keepers run in the background of the test. */
@OptIn(ExperimentalCoroutinesApi::class)
private class Site(
    private val scope: TestScope,
    private val checks: Boolean,
) {
    val store = MemoryObjectStore()
    val numbers = ArrayList<Long>()
    var answersToLose = 0
    private val target = TargetName("finding-1")
    private val orders = OrderStore(store)
    private val taken = ArrayList<String>()
    private val refused = ArrayList<String>()

    fun keeper(
        host: String,
        incarnation: Long,
        connect: Duration = Duration.ZERO,
        frozenBeforeWrite: Duration = Duration.ZERO,
    ): Job {
        val send: OrderCall = { order, timeout, mayWrite ->
            delay(connect)
            val allowed = mayWrite()
            delay(frozenBeforeWrite)
            if (allowed) receive(order, timeout) else OrderOutcome.NotSent
        }
        val holder = OrderHolder(HostName(host), Incarnation(incarnation))
        val keeper = OrderKeeper(target, holder, store, send, checksFencing = { checks }, now = ::now)
        return scope.backgroundScope.launch { keeper.run() }
    }

    suspend fun order(
        adapter: String,
        base: Long,
    ): Result<Revision, OrderFailure> =
        orders.make(OrderDraft(target, "change-$adapter", WantedState(adapter = adapter), Revision(base)))

    suspend fun after(wait: Duration): Seen {
        delay(wait)
        return Seen(
            taken.toList(),
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
        if (adapter == UNKNOWN_ADAPTER || (checks && order.fencing < (numbers.maxOrNull() ?: 0))) {
            refused += adapter
            return OrderOutcome.Refused(OrderRefusal(CONFLICT, "refused"))
        }
        numbers += order.fencing
        taken += adapter
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
