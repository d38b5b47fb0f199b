package tanagerlane.queueing

import tanagerlane.model.AttemptId
import tanagerlane.model.RequestClass
import kotlin.time.Duration
import kotlin.time.Instant

/** Running entries and the tokens that they hold in the engine's memory. */
internal class RunningEntries {
    private val running = LinkedHashMap<AttemptId, RunningEntry>()

    val size: Int get() = running.size

    /** Number of running batch entries. */
    val batchCount: Int get() = running.values.count { it.batch }

    /** Prefill tokens of the batch entries that have produced nothing in this run. */
    val batchPrefillTokens: Int
        get() = running.values.filter { it.batch && !it.hasProduced }.sumOf { it.prefillTokens }

    private val tokens: Int get() = running.values.sumOf { it.waiting.entry.tokens }

    fun add(
        waiting: WaitingEntry,
        now: Instant,
    ) {
        val earlier = running.put(waiting.entry.id, RunningEntry(waiting, now))
        check(earlier == null) { "entry is already running: ${waiting.entry.id}" }
    }

    operator fun get(id: AttemptId): RunningEntry? = running[id]

    fun remove(id: AttemptId): RunningEntry? = running.remove(id)

    /** Returns whether an online entry that started within [timeout] has produced nothing yet. */
    fun awaitsFirstToken(
        timeout: Duration,
        now: Instant,
    ): Boolean = running.values.any { !it.batch && !it.hasProduced && now - it.startedAt < timeout }

    fun fits(
        entry: QueueEntry,
        settings: QueueSettings,
    ): Boolean = running.size < settings.window && tokens + entry.tokens <= settings.tokenBudget

    /**
     * Returns the batch entries to preempt so that [entry] fits, or null when preempting all of them is not enough.
     *
     * Entries with the fewest tokens to recompute come first, and among equals the one that started last.
     */
    fun victims(
        entry: QueueEntry,
        settings: QueueSettings,
    ): List<RunningEntry>? {
        val candidates =
            running.values
                .filter { it.batch }
                .reversed()
                .sortedBy { it.recomputedTokens }
        var freeSlots = settings.window - running.size
        var freeTokens = settings.tokenBudget - tokens
        val victims = ArrayList<RunningEntry>()
        for (candidate in candidates) {
            if (freeSlots > 0 && freeTokens >= entry.tokens) {
                break
            }
            victims.add(candidate)
            freeSlots += 1
            freeTokens += candidate.waiting.entry.tokens
        }
        return victims.takeIf { freeSlots > 0 && freeTokens >= entry.tokens }
    }
}

/** An entry that has been running since [startedAt]. */
internal class RunningEntry(
    val waiting: WaitingEntry,
    val startedAt: Instant,
) {
    /** Tokens produced by this run and earlier ones. */
    var producedTokens: Int = waiting.producedTokens
        private set

    /** Whether this run has produced any token. */
    var hasProduced: Boolean = false
        private set

    val batch: Boolean get() = waiting.entry.requestClass == RequestClass.BATCH

    /** Tokens that the engine processes before this run produces its first one. */
    val prefillTokens: Int get() = waiting.entry.promptTokens + waiting.producedTokens

    /** Tokens that the engine has to process again when the entry is stopped now and resumed later. */
    val recomputedTokens: Int get() = if (hasProduced) waiting.entry.promptTokens + producedTokens else 0

    /** Records that [tokens] tokens have been produced in all; returns whether they include the first of this run. */
    fun progress(tokens: Int): Boolean {
        val first = !hasProduced
        hasProduced = true
        producedTokens = maxOf(producedTokens, tokens)
        return first
    }
}
