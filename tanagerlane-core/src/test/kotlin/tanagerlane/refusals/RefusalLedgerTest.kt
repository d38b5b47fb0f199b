package tanagerlane.refusals

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import tanagerlane.message.RefusalCopied
import tanagerlane.message.RefusalMinute
import tanagerlane.message.RefusalTally
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.model.WorkspaceName
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectVersion
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

class RefusalLedgerTest :
    FunSpec({
        test("a caller receives its refusal when a peer has a copy, or after the time-out") {
            val ledger = RefusalLedger(HOST, Incarnation(1))
            val first = ledger.recordRateLimited(PRESS, NOW)
            ledger.mayRespond(first, NOW) shouldBe false
            val copy = checkNotNull(ledger.nextCopy(NOW))
            val second = ledger.recordRateLimited(PRESS, NOW)
            ledger.nextCopy(NOW) shouldBe null
            ledger.copied(RefusalCopied(copy.sequence))
            ledger.mayRespond(first, NOW) shouldBe true
            ledger.mayRespond(second, NOW) shouldBe false
            ledger.mayRespond(second, NOW + 50.milliseconds) shouldBe true
            ledger.unreplicated shouldBe 1
        }

        test("many equal refusals need one tally and one outstanding copy") {
            val ledger = RefusalLedger(HOST, Incarnation(1))
            repeat(100_000) { ledger.recordRateLimited(PRESS, NOW) }
            ledger.nextCopy(NOW)?.tallies shouldBe
                listOf(RefusalTally(MINUTE, PRESS, RefusalReason.RATE_LIMITED, RunState.NOT_RUN, 100_000))
            ledger.nextFlush(NOW) shouldBe null
            ledger.nextFlush(NOW + 1.minutes)?.key shouldBe ObjectKey("refusals/entry-0-1/$MINUTE")
        }

        test("minutes with refusals are counted once for each workspace") {
            val stored =
                listOf(1L to PRESS, 1L to CLINIC, 2L to PRESS, 2L to null).map { (minute, workspace) ->
                    val tally = RefusalTally(minute, workspace, RefusalReason.OVERLOADED, RunState.NOT_RUN, 9)
                    RefusalMinute(HOST, Incarnation(1), minute, listOf(tally, tally.copy(runState = RunState.UNKNOWN)))
                }
            RefusalAudit.minutesRefused(stored) shouldBe mapOf(PRESS to 2, CLINIC to 1)
        }

        test("the audit reports lost refusals") {
            val refusal = Refusal(1, PRESS, RefusalReason.OVERLOADED, RunState.NOT_RUN)
            val stored = listOf(RefusalMinute(HOST, Incarnation(1), 1, listOf(refusal.tally(2))))
            RefusalAudit.compare(stored, List(2) { refusal }) shouldBe emptyList()
            RefusalAudit.compare(stored, List(3) { refusal }) shouldBe listOf(RefusalDifference(refusal, 2, 3))
        }

        test(
            "no refusal that a caller received is lost or counted twice when its host or its peers are killed",
        ) {
            val differences = (1..RANDOM_RUNS).flatMap { RefusalScenario(Random(it)).run() }
            differences shouldBe emptyList()
        }
    })

private const val RANDOM_RUNS = 3000
private const val STEPS = 120
private val HOST = HostName("entry-0")
private val PRESS = WorkspaceName("press")
private val CLINIC = WorkspaceName("clinic")
private val NOW = Instant.fromEpochSeconds(1_200_000)
private val MINUTE = Refusal.minuteOf(NOW)

private fun RefusalLedger.recordRateLimited(
    workspace: WorkspaceName,
    now: Instant,
) = record(workspace, RefusalReason.RATE_LIMITED, RunState.NOT_RUN, now)

/** Simulates a refusing host, its peer, and an object API that may fail writes or lose their answers. */
private class RefusalScenario(
    private val random: Random,
) {
    private val ledger = RefusalLedger(HOST, Incarnation(1), copyTimeout = 1.minutes * STEPS)
    private var peer = RefusalCopies()
    private val stored = HashMap<ObjectKey, Pair<RefusalMinute, ObjectVersion>>()
    private val unanswered = ArrayList<RefusalTicket>()
    private val recorded = ArrayList<Refusal>()
    private val answered = ArrayList<Refusal>()
    private var now = NOW
    private var versions = 0L

    /** Returns the kinds of refusal that were received but lost, or stored more often than recorded. */
    fun run(): List<RefusalDifference> {
        repeat(random.nextInt(STEPS)) { step() }
        peer.hostLost(HOST)
        repeat(STEPS * 4) { flush(peer.nextFlush(), { at -> peer.flushed(at) }, peer::flushFailed) }
        val minutes = stored.values.map { it.first }
        return RefusalAudit.compare(minutes, answered).filter { it.lost > 0 } +
            RefusalAudit.compare(minutes, recorded).filter { it.stored > it.received }
    }

    private fun step() {
        now += random.nextInt(15).seconds
        when (random.nextInt(10)) {
            0, 1, 2 -> ledger.recordRateLimited(listOf(PRESS, CLINIC).random(random), now).let(::keep)
            3, 4, 5 -> copy()
            6, 7 -> flush(ledger.nextFlush(now), { at -> ledger.flushed(at, now) }, ledger::flushFailed)
            8 -> if (random.nextInt(4) == 0) replacePeer()
            else -> suspectHost()
        }
        val ready = unanswered.filter { ledger.mayRespond(it, now) }
        unanswered -= ready.toSet()
        answered += ready.map { it.refusal }
    }

    private fun keep(ticket: RefusalTicket) {
        unanswered += ticket
        recorded += ticket.refusal
    }

    private fun copy() {
        val copy = ledger.nextCopy(now) ?: return
        if (random.nextInt(4) == 0) {
            ledger.peerLost()
        } else {
            ledger.copied(peer.accept(copy))
        }
    }

    /** Replaces the peer; the new one has all counts before the host can be lost too. */
    private fun replacePeer() {
        peer = RefusalCopies()
        ledger.peerLost()
        ledger.nextCopy(now)?.let { ledger.copied(peer.accept(it)) }
    }

    private fun suspectHost() {
        if (random.nextInt(4) == 0) {
            peer.hostLost(HOST)
        }
        flush(peer.nextFlush(), { at -> peer.flushed(at) }, peer::flushFailed)
    }

    private fun flush(
        flush: RefusalFlush?,
        flushed: (ObjectVersion) -> Unit,
        failed: (RefusalMinute?, ObjectVersion?) -> Unit,
    ) {
        if (flush == null) {
            return
        }
        val fails = random.nextInt(4) == 0
        val isStored = !fails && stored[flush.key]?.second == flush.expected
        if (isStored) {
            stored[flush.key] = flush.value to ObjectVersion(++versions)
        }
        val isConfirmed = random.nextInt(4) > 0
        val found = stored[flush.key]
        when {
            isStored && isConfirmed -> flushed(ObjectVersion(versions))
            random.nextBoolean() -> failed(null, null)
            else -> failed(found?.first, found?.second)
        }
    }
}
