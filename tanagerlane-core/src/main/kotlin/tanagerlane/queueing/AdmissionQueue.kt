package tanagerlane.queueing

import tanagerlane.model.AttemptId
import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestClass
import kotlin.time.Instant

/**
 * Admission control and scheduling for one target that starts every request it receives.
 *
 * Online entries start by weighted fair queueing among workspaces. Batch entries use the remaining capacity and are
 * preempted at once when an online entry does not fit. Not thread-safe: the owner holds a lock around each call and
 * carries out the returned decisions in order.
 */
public class AdmissionQueue(
    private var settings: QueueSettings,
) {
    private val online = FairQueue()
    private val batch = BatchQueue()
    private val running = RunningEntries()
    private val batchConcurrency = BatchConcurrencyLimit()
    private val holdTime = HoldTime()
    private var draining = false
    private var arrivals = 0L

    /** Current load. */
    public val load: QueueLoad
        get() =
            QueueLoad(
                onlineQueued = online.size,
                onlineRunning = running.size - running.batchCount,
                batchQueued = batch.size,
                batchRunning = running.batchCount,
                batchLimit = batchConcurrency.limit(settings.window),
                window = settings.window,
                draining = draining,
            )

    /** Enqueues [entry], or refuses it at once. */
    public fun offer(
        entry: QueueEntry,
        now: Instant,
    ): List<QueueDecision> {
        val reason = refusalReason(entry, now)
        if (reason != null) {
            return listOf(QueueDecision.Refuse(entry.id, reason)) + schedule(now)
        }
        val waiting = WaitingEntry(entry, now, arrivals++)
        when (entry.requestClass) {
            RequestClass.ONLINE -> online.add(waiting)
            RequestClass.BATCH -> batch.add(waiting)
        }
        return schedule(now)
    }

    /** Records that the entry [id] has produced its first token. */
    public fun firstToken(
        id: AttemptId,
        now: Instant,
    ): List<QueueDecision> {
        val entry = running[id] ?: return emptyList()
        entry.progress(entry.waiting.producedTokens + 1)
        if (!entry.batch) {
            batchConcurrency.observe(now - entry.waiting.arrivedAt, settings, now)
        }
        return schedule(now)
    }

    /** Records that the entry [id] has produced [tokens] tokens, summed over all its runs. */
    public fun progress(
        id: AttemptId,
        tokens: Int,
        now: Instant,
    ): List<QueueDecision> {
        val first = running[id]?.progress(tokens) ?: false
        return if (first) schedule(now) else emptyList()
    }

    /** Records that the run of [id] has ended, whether it succeeded or failed. */
    public fun finished(
        id: AttemptId,
        now: Instant,
    ): List<QueueDecision> {
        running.remove(id)?.let { recordEnd(it, now) }
        return schedule(now)
    }

    /** Removes the entry [id]; the owner stops its run, if there is one. */
    public fun cancel(
        id: AttemptId,
        now: Instant,
    ): List<QueueDecision> {
        online.remove(id)
        batch.remove(id)
        return finished(id, now)
    }

    /** Refuses entries past their deadline and starts those that fit. Must be called several times a second. */
    public fun tick(now: Instant): List<QueueDecision> = schedule(now)

    /** Applies [settings]; running entries are not stopped when the window shrinks. */
    public fun configure(
        settings: QueueSettings,
        now: Instant,
    ): List<QueueDecision> {
        this.settings = settings
        return schedule(now)
    }

    /** Refuses new entries and batch entries that have never started; all others run to completion. */
    public fun drain(now: Instant): List<QueueDecision> {
        draining = true
        val refused = batch.removeAll { !it.hasStarted }
        return refused.map { QueueDecision.Refuse(it.entry.id, RefusalReason.SHUTTING_DOWN) } + schedule(now)
    }

    private fun refusalReason(
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

            now + holdTime.minimumWait(online.entriesAhead(entry.workspace), settings.window) > entry.deadline -> {
                RefusalReason.OVERLOADED
            }

            else -> {
                null
            }
        }

    private fun schedule(now: Instant): List<QueueDecision> {
        val decisions = ArrayList<QueueDecision>()
        online.removeAll { it.entry.deadline <= now }.mapTo(decisions) {
            QueueDecision.Refuse(it.entry.id, RefusalReason.DEADLINE_EXCEEDED)
        }
        startOnline(now, decisions)
        batchConcurrency.increase(online.size > 0 || running.size > running.batchCount, settings.window, now)
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
        while (online.size == 0 && running.batchCount < batchConcurrency.limit(settings.window)) {
            val head = batch.peek() ?: return
            if (!running.fits(head.entry, settings) || !hasPrefillRoom(head)) {
                return
            }
            decisions.add(start(batch.take(), now))
        }
    }

    private fun hasPrefillRoom(head: WaitingEntry): Boolean {
        val taken = running.batchPrefillTokens
        return taken == 0 || taken + head.entry.promptTokens + head.producedTokens <= settings.batchPrefillTokens
    }

    private fun start(
        waiting: WaitingEntry,
        now: Instant,
    ): QueueDecision {
        running.add(waiting, now)
        return QueueDecision.Start(waiting.entry.id, waiting.producedTokens)
    }

    private fun preempt(entry: RunningEntry): QueueDecision {
        running.remove(entry.waiting.entry.id)
        batch.add(entry.waiting.copy(producedTokens = entry.producedTokens, hasStarted = true))
        return QueueDecision.Preempt(entry.waiting.entry.id)
    }

    private fun recordEnd(
        ended: RunningEntry,
        now: Instant,
    ) {
        if (ended.batch) {
            return
        }
        holdTime.observe(now - ended.startedAt)
        if (ended.hasProduced) {
            online.refund(ended.waiting.entry, ended.waiting.entry.maximumTokens - ended.producedTokens)
        }
    }
}
