package tanagerlane.queueing

import tanagerlane.model.AttemptId
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestClass
import kotlin.time.Instant

/**
 * Decides when each entry runs on a target that itself starts whatever comes.
 *
 * Online entries run in a fair order among workspaces; batch entries run in what is left and are stopped at once when
 * an online entry finds no room. Not safe for use by several threads: the owner holds a lock around each call and
 * carries out the decisions in order.
 */
public class AdmissionQueue(
    private var settings: QueueSettings,
) {
    private val online = FairQueue()
    private val batch = BatchLine()
    private val running = RunningEntries()
    private val share = BatchShare()
    private val holdTime = HoldTime()
    private var draining = false
    private var arrivals = 0L

    /** Load at present. */
    public val load: QueueLoad
        get() =
            QueueLoad(
                onlineQueued = online.size,
                onlineRunning = running.size - running.batchCount,
                batchQueued = batch.size,
                batchRunning = running.batchCount,
                batchLimit = share.limit(settings.window),
                window = settings.window,
                draining = draining,
            )

    /** Takes in [entry], or refuses it at once. */
    public fun offer(
        entry: QueueEntry,
        now: Instant,
    ): List<QueueDecision> {
        val reason = refusal(entry, now)
        if (reason != null) {
            return listOf(QueueDecision.Refuse(entry.id, reason)) + advance(now)
        }
        val waiting = WaitingEntry(entry, now, arrivals++)
        when (entry.requestClass) {
            RequestClass.ONLINE -> online.add(waiting)
            RequestClass.BATCH -> batch.add(waiting)
        }
        return advance(now)
    }

    /** Takes in that the entry [id] has produced its first token. */
    public fun firstToken(
        id: AttemptId,
        now: Instant,
    ): List<QueueDecision> {
        val entry = running[id] ?: return emptyList()
        entry.progress(entry.waiting.produced + 1)
        if (!entry.batch) {
            share.observe(now - entry.waiting.offered, settings, now)
        }
        return advance(now)
    }

    /** Takes in that the entry [id] has produced [tokens] tokens in all its runs together. */
    public fun progress(
        id: AttemptId,
        tokens: Int,
        now: Instant,
    ): List<QueueDecision> {
        val first = running[id]?.progress(tokens) ?: false
        return if (first) advance(now) else emptyList()
    }

    /** Takes in that the run of [id] has ended, well or not. */
    public fun finished(
        id: AttemptId,
        now: Instant,
    ): List<QueueDecision> {
        running.remove(id)?.let { settle(it, now) }
        return advance(now)
    }

    /** Forgets the entry [id]; its owner stops the run, if there is one. */
    public fun cancel(
        id: AttemptId,
        now: Instant,
    ): List<QueueDecision> {
        online.remove(id)
        batch.remove(id)
        return finished(id, now)
    }

    /** Refuses entries whose time has passed and starts those that have room; to be called several times a second. */
    public fun tick(now: Instant): List<QueueDecision> = advance(now)

    /** Puts [settings] in force; entries that run go on when the window has become smaller. */
    public fun configure(
        settings: QueueSettings,
        now: Instant,
    ): List<QueueDecision> {
        this.settings = settings
        return advance(now)
    }

    /** Refuses new entries and batch entries that have not run; the rest goes on to its end. */
    public fun drain(now: Instant): List<QueueDecision> {
        draining = true
        val refused = batch.removeAll { !it.begun }
        return refused.map { QueueDecision.Refuse(it.entry.id, RefusalReason.SHUTTING_DOWN) } + advance(now)
    }

    private fun refusal(
        entry: QueueEntry,
        now: Instant,
    ): RefusalReason? =
        when {
            draining -> {
                RefusalReason.SHUTTING_DOWN
            }

            entry.tokens > settings.tokenBudget -> {
                RefusalReason.TOO_LARGE
            }

            entry.requestClass == RequestClass.BATCH -> {
                RefusalReason.OVERLOADED.takeIf {
                    batch.size >=
                        settings.batchEntries
                }
            }

            entry.deadline <= now -> {
                RefusalReason.DEADLINE_EXCEEDED
            }

            online.size(entry.workspace) >= settings.workspaceEntries -> {
                RefusalReason.OVERLOADED
            }

            now + holdTime.leastWait(online.ahead(entry.workspace), settings.window) > entry.deadline -> {
                RefusalReason.OVERLOADED
            }

            else -> {
                null
            }
        }

    private fun advance(now: Instant): List<QueueDecision> {
        val decisions = ArrayList<QueueDecision>()
        online.removeAll { it.entry.deadline <= now }.mapTo(decisions) {
            QueueDecision.Refuse(it.entry.id, RefusalReason.DEADLINE_EXCEEDED)
        }
        startOnline(now, decisions)
        share.increase(online.size > 0 || running.size > running.batchCount, settings.window, now)
        startBatch(now, decisions)
        return decisions
    }

    private fun startOnline(
        now: Instant,
        decisions: MutableList<QueueDecision>,
    ) {
        while (true) {
            val head = online.peek() ?: return
            val victims = running.victims(head.entry, settings) ?: return
            victims.mapTo(decisions) { preempt(it) }
            decisions.add(start(online.take(), now))
        }
    }

    private fun startBatch(
        now: Instant,
        decisions: MutableList<QueueDecision>,
    ) {
        if (running.awaitsFirstToken(settings.firstTokenTarget, now)) {
            return
        }
        while (online.size == 0 && running.batchCount < share.limit(settings.window)) {
            val head = batch.peek() ?: return
            if (!running.fits(head.entry, settings) || !hasPrefillRoom(head)) {
                return
            }
            decisions.add(start(batch.take(), now))
        }
    }

    private fun hasPrefillRoom(head: WaitingEntry): Boolean {
        val taken = running.batchPrefillTokens
        return taken == 0 || taken + head.entry.promptTokens + head.produced <= settings.batchPrefillTokens
    }

    private fun start(
        waiting: WaitingEntry,
        now: Instant,
    ): QueueDecision {
        running.add(waiting, now)
        return QueueDecision.Start(waiting.entry.id, waiting.produced)
    }

    private fun preempt(entry: RunningEntry): QueueDecision {
        running.remove(entry.waiting.entry.id)
        batch.add(entry.waiting.copy(produced = entry.produced, begun = true))
        return QueueDecision.Preempt(entry.waiting.entry.id)
    }

    private fun settle(
        ended: RunningEntry,
        now: Instant,
    ) {
        if (ended.batch) {
            return
        }
        holdTime.observe(now - ended.started)
        if (ended.answering) {
            online.refund(ended.waiting.entry, ended.waiting.entry.maximumTokens - ended.produced)
        }
    }
}
