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
        test("a caller hears its refusal when a peer has it, or when the time is up") {
            val ledger = RefusalLedger(HOST, Incarnation(1))
            val first = ledger.recordRate(PRESS, NOW)
            ledger.mayRespond(first, NOW) shouldBe false
            val copy = checkNotNull(ledger.nextCopy(NOW))
            val second = ledger.recordRate(PRESS, NOW)
            ledger.nextCopy(NOW) shouldBe null
            ledger.copied(RefusalCopied(copy.sequence))
            ledger.mayRespond(first, NOW) shouldBe true
            ledger.mayRespond(second, NOW) shouldBe false
            ledger.mayRespond(second, NOW + 50.milliseconds) shouldBe true
            ledger.unreplicated shouldBe 1
        }

        test("a flood costs one tally and one copy at a time") {
            val ledger = RefusalLedger(HOST, Incarnation(1))
            repeat(100_000) { ledger.recordRate(PRESS, NOW) }
            ledger.nextCopy(NOW)?.tallies shouldBe
                listOf(RefusalTally(MINUTE, PRESS, RefusalReason.RATE_LIMITED, RunState.NOT_RUN, 100_000))
            ledger.nextFlush(NOW) shouldBe null
            ledger.nextFlush(NOW + 1.minutes)?.key shouldBe ObjectKey("refusals/entry-0-1/$MINUTE")
        }

        test("minutes of refusal are counted once for each workspace") {
            val stored =
                listOf(1L to PRESS, 1L to CLINIC, 2L to PRESS, 2L to null).map { (minute, workspace) ->
                    val tally = RefusalTally(minute, workspace, RefusalReason.OVERLOADED, RunState.NOT_RUN, 9)
                    RefusalMinute(HOST, Incarnation(1), minute, listOf(tally, tally.copy(runState = RunState.UNKNOWN)))
                }
            RefusalAudit.minutesRefused(stored) shouldBe mapOf(PRESS to 2, CLINIC to 1)
        }

        test("the audit tells what was lost") {
            val refusal = Refusal(1, PRESS, RefusalReason.OVERLOADED, RunState.NOT_RUN)
            val stored = listOf(RefusalMinute(HOST, Incarnation(1), 1, listOf(refusal.tally(2))))
            RefusalAudit.compare(stored, List(2) { refusal }) shouldBe emptyList()
            RefusalAudit.compare(stored, List(3) { refusal }) shouldBe listOf(RefusalDifference(refusal, 2, 3))
        }

        test(
            "no refusal that a caller heard is lost or counted twice when its host is killed, or one peer after another",
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

private fun RefusalLedger.recordRate(
    workspace: WorkspaceName,
    now: Instant,
) = record(workspace, RefusalReason.RATE_LIMITED, RunState.NOT_RUN, now)

/** A host that refuses, its peer, and an object API whose writes may fail or whose answers may be lost. */
private class RefusalScenario(
    private val random: Random,
) {
    private val ledger = RefusalLedger(HOST, Incarnation(1), copyTimeout = 1.minutes * STEPS)
    private var peer = RefusalCopies()
    private val stored = HashMap<ObjectKey, Pair<RefusalMinute, ObjectVersion>>()
    private val untold = ArrayList<RefusalTicket>()
    private val recorded = ArrayList<Refusal>()
    private val told = ArrayList<Refusal>()
    private var now = NOW
    private var versions = 0L

    /** Returns kinds of refusal of which some were heard and lost, or more were stored than were recorded. */
    fun run(): List<RefusalDifference> {
        repeat(random.nextInt(STEPS)) { step() }
        peer.hostLost(HOST)
        repeat(STEPS * 4) { flush(peer.nextFlush(), { at -> peer.flushed(at) }, peer::flushFailed) }
        val minutes = stored.values.map { it.first }
        return RefusalAudit.compare(minutes, told).filter { it.lost > 0 } +
            RefusalAudit.compare(minutes, recorded).filter { it.stored > it.received }
    }

    private fun step() {
        now += random.nextInt(15).seconds
        when (random.nextInt(10)) {
            0, 1, 2 -> ledger.recordRate(listOf(PRESS, CLINIC).random(random), now).let(::keep)
            3, 4, 5 -> copy()
            6, 7 -> flush(ledger.nextFlush(now), { at -> ledger.flushed(at, now) }, ledger::flushFailed)
            8 -> if (random.nextInt(4) == 0) replacePeer()
            else -> suspectHost()
        }
        val ready = untold.filter { ledger.mayRespond(it, now) }
        untold -= ready.toSet()
        told += ready.map { it.refusal }
    }

    private fun keep(ticket: RefusalTicket) {
        untold += ticket
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

    /** The peer is lost; the new one has everything before the host can be lost too. */
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
        val holds = !fails && stored[flush.key]?.second == flush.expected
        if (holds) {
            stored[flush.key] = flush.value to ObjectVersion(++versions)
        }
        val isHeard = random.nextInt(4) > 0
        val found = stored[flush.key]
        when {
            holds && isHeard -> flushed(ObjectVersion(versions))
            random.nextBoolean() -> failed(null, null)
            else -> failed(found?.first, found?.second)
        }
    }
}
