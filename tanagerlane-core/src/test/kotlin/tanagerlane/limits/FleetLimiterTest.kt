package tanagerlane.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.message.LimitKey
import tanagerlane.message.LoanRecall
import tanagerlane.message.LoanReturn
import tanagerlane.message.WorkspaceLimit
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.WorkspaceName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

private val pool = HostName("pool")
private val lender = HostName("lender")
private val TICK = 50.milliseconds
private val start = Instant.fromEpochSeconds(1_000)

/** A key whose pool is hosted by [pool]. */
private val key: LimitKey =
    (0..99).map { WorkspaceLimit(WorkspaceName("workspace-$it")) }.first {
        rendezvousHost(it, setOf(pool, lender)) ==
            pool
    }

/** Two entries with one slot each, connected by a network without delay. */
private class Entries(
    rate: Rate = Rate(perSecond = 2.0, burst = 8),
) {
    val limiters = listOf(pool, lender).associateWith { limiter(it, rate, Incarnation(1)) }.toMutableMap()
    var isDisconnected = false
    private val decisions = mutableListOf<Admission>()
    private var tickedUntil = Duration.ZERO

    fun limiter(
        host: HostName,
        rate: Rate,
        incarnation: Incarnation,
    ): FleetLimiter {
        val slot = if (host == pool) 0 else 1
        val limiter = FleetLimiter(LimiterSettings(host, incarnation, slotCount = 2))
        limiter.changePeers(setOf(pool, lender), setOf(pool, lender))
        limiter.changeSlots(listOf(HeldSlot(slot, start, Instant.DISTANT_FUTURE)), start)
        limiter.configure(listOf(Limit(key, rate)), start)
        return limiter
    }

    fun send(
        from: HostName,
        messages: List<OutgoingMessage>,
        after: Duration,
    ) {
        for (outgoing in messages.filter { !isDisconnected }) {
            val output = limiters.getValue(outgoing.to).receive(from, outgoing.message, start + after)
            decisions += output.decisions.map { it.admission }
            send(outgoing.to, output.outgoing, after)
        }
    }

    fun runUntil(after: Duration) {
        while (tickedUntil + TICK <= after) {
            tickedUntil += TICK
            limiters.forEach { (host, limiter) -> send(host, limiter.tick(start + tickedUntil).outgoing, tickedUntil) }
        }
    }

    /** Sends requests to [host] until it refuses one and returns the number of admitted requests. */
    fun admitted(
        host: HostName,
        after: Duration,
    ): Int {
        runUntil(after)
        val limiter = limiters.getValue(host)
        return generateSequence { limiter.admit(key, start + after).let { complete(host, it, after) } }
            .takeWhile { it is Admission.Admitted }
            .onEach { limiter.settle((it as Admission.Admitted).permit, start + after) }
            .count()
    }

    private fun complete(
        host: HostName,
        admission: Admission,
        after: Duration,
    ): Admission? {
        if (admission !is Admission.Pending) {
            return admission
        }
        send(host, admission.outgoing, after)
        return decisions.removeLastOrNull()
    }
}

class FleetLimiterTest :
    FunSpec({
        test("one entry can spend the whole burst and rate when the other has no requests") {
            for (host in listOf(pool, lender)) {
                val entries = Entries()
                val admitted = listOf(0.0, 12.02, 13.1).map { entries.admitted(host, it.seconds) }
                admitted shouldBe listOf(0, 8, 2)
            }
        }

        test("without slots no request is admitted") {
            val entries = Entries()
            entries.limiters.values.forEach { it.changeSlots(emptyList(), start + 5.seconds) }
            entries.admitted(pool, 20.seconds) shouldBe 0
        }

        test("after a loan is no longer renewed its share is unused until the lender reclaims it without tokens") {
            val cases =
                listOf(
                    Counted(100.milliseconds, byPool = 0, byLender = 0),
                    Counted(1900.milliseconds, byPool = 3, byLender = 0),
                    Counted(2100.milliseconds, byPool = 4, byLender = 0),
                    Counted(4200.milliseconds, byPool = 6, byLender = 0),
                    Counted(4300.milliseconds, byPool = 6, byLender = 0),
                    Counted(5300.milliseconds, byPool = 7, byLender = 1),
                )
            for (expected in cases) {
                val entries = Entries(Rate(perSecond = 2.0, burst = 40))
                entries.admitted(lender, 10.seconds) shouldBe 20
                entries.isDisconnected = true
                val after = 10.seconds + expected.after
                Counted(expected.after, entries.admitted(pool, after), entries.admitted(lender, after)) shouldBe
                    expected
            }
        }

        test("requests in flight when the loans of their pool end count against the burst") {
            val entries = Entries(Rate(perSecond = 100.0, burst = 8))
            entries.admitted(lender, 10.seconds) shouldBe 8
            entries.runUntil(10.1.seconds)
            entries.isDisconnected = true
            entries.runUntil(11.9.seconds)
            val inFlight = (1..20).map { entries.limiters.getValue(pool).admit(key, start + 11.9.seconds) }
            inFlight.count { it is Admission.Admitted } shouldBe 8
            entries.runUntil(13.8.seconds)
            entries.admitted(pool, 13.85.seconds) + entries.admitted(lender, 13.85.seconds) shouldBe 0
        }

        test("requests that a lender has in flight count against the burst of the pool") {
            val entries = Entries(Rate(perSecond = 100.0, burst = 8))
            entries.runUntil(10.seconds)
            val inFlight = (1..4).map { entries.limiters.getValue(lender).admit(key, start + 10.seconds) }
            inFlight.count { it is Admission.Admitted } shouldBe 4
            entries.admitted(pool, 10.02.seconds) shouldBe 4
            entries.admitted(pool, 10.52.seconds) shouldBe 4
        }

        test("the term of a loan starts with its loan call, however late the answer arrives") {
            for ((delay, expected) in listOf(100.milliseconds to 8, 1900.milliseconds to 8, 2100.milliseconds to 4)) {
                val entries = Entries(Rate(perSecond = 100.0, burst = 8))
                entries.runUntil(10.seconds)
                entries.isDisconnected = true
                entries.admitted(pool, 10.seconds)
                entries.runUntil(13.9.seconds)
                val call =
                    entries.limiters
                        .getValue(pool)
                        .tick(start + 14.seconds)
                        .outgoing
                        .first()
                val answer = entries.limiters.getValue(lender).receive(pool, call.message, start + 14.seconds)
                entries.isDisconnected = false
                entries.send(lender, answer.outgoing, 14.seconds + delay)
                entries.isDisconnected = true
                (delay to entries.admitted(pool, 14.seconds + delay + 50.milliseconds)) shouldBe (delay to expected)
            }
        }

        test("tokens that were lent are deposited only once even if the loan expired before it was renewed") {
            val entries = Entries(Rate(perSecond = 2.0, burst = 40))
            entries.admitted(pool, 10.seconds) shouldBe 20
            entries.isDisconnected = true
            entries.runUntil(13.seconds)
            entries.isDisconnected = false
            entries.runUntil(14.seconds)
            entries.admitted(pool, 14.02.seconds) shouldBe 6
        }

        test("a restarted host of a pool does not use tokens that were lent to its earlier incarnation") {
            val rate = Rate(perSecond = 2.0, burst = 40)
            val entries = Entries(rate)
            entries.admitted(pool, 10.seconds) shouldBe 20
            val restarted = entries.limiter(pool, rate, Incarnation(2))
            restarted.changeSlots(emptyList(), start + 10.seconds)
            entries.limiters[pool] = restarted
            entries.admitted(pool, 12.02.seconds) shouldBe 0
            entries.admitted(pool, 16.02.seconds) shouldBe 1
        }

        test("an answer to a loan call that was sent before the loan was returned is ignored") {
            val entries = Entries(Rate(perSecond = 2.0, burst = 40))
            entries.admitted(pool, 10.seconds) shouldBe 20
            entries.isDisconnected = true
            val call =
                entries.limiters
                    .getValue(pool)
                    .tick(start + 10.55.seconds)
                    .outgoing
                    .first()
            val answer = entries.limiters.getValue(lender).receive(pool, call.message, start + 10.6.seconds)
            entries.isDisconnected = false
            entries.send(lender, listOf(OutgoingMessage(pool, LoanRecall(listOf(key)))), 10.65.seconds)
            entries.send(lender, answer.outgoing, 10.7.seconds)
            entries.isDisconnected = true
            listOf(pool, lender).map { entries.admitted(it, 11.7.seconds) } shouldBe listOf(2, 1)
        }

        test("a pool without requests returns its loans with their tokens") {
            val entries = Entries()
            entries.admitted(lender, 10.seconds) shouldBe 8
            entries.runUntil(25.seconds)
            entries.isDisconnected = true
            entries.admitted(lender, 25.seconds) shouldBe 4
        }

        test("duplicate messages have no effect") {
            val entries = Entries()
            entries.admitted(lender, 10.seconds) shouldBe 8
            val call =
                entries.limiters
                    .getValue(pool)
                    .tick(start + 11.seconds)
                    .outgoing
                    .first()
            val answer =
                entries.limiters
                    .getValue(
                        lender,
                    ).receive(pool, call.message, start + 11.seconds)
                    .outgoing
                    .single()
            repeat(9) { entries.send(lender, listOf(answer), 11.seconds) }
            entries.admitted(pool, 11.seconds) shouldBe 2
            val stale = LoanReturn(key, Incarnation(1), generation = 0, tokens = 4.0)
            entries.send(pool, listOf(OutgoingMessage(lender, stale)), 11.seconds)
            entries.admitted(lender, 11.seconds) shouldBe 0
        }

        test("a lower rate applies at once and a higher rate adds no tokens by itself") {
            val cases = listOf(Rate(2.0, 2) to 2, Rate(2.0, 8) to 8, Rate(100.0, 100) to 8, Rate(0.0, 0) to 0)
            for ((rate, expected) in cases) {
                val entries = Entries()
                entries.limiters.values.forEach { it.configure(listOf(Limit(key, rate)), start + 10.seconds) }
                (rate to entries.admitted(lender, 10.seconds)) shouldBe (rate to expected)
            }
        }
    })

private data class Counted(
    val after: Duration,
    val byPool: Int,
    val byLender: Int,
)
