package tanagerlane.queueing

import tanagerlane.model.AttemptId
import tanagerlane.model.RequestClass
import kotlin.time.Duration
import kotlin.time.Instant

/** Entries that run, with the memory that they hold in the engine. */
internal class RunningEntries {
    private val running = LinkedHashMap<AttemptId, RunningEntry>()

    val size: Int get() = running.size

    /** Batch entries that run. */
    val batchCount: Int get() = running.values.count { it.batch }

    /** Tokens of batch entries that have produced nothing in this run. */
    val batchPrefillTokens: Int
        get() = running.values.filter { it.batch && !it.answering }.sumOf { it.prefillTokens }

    private val tokens: Int get() = running.values.sumOf { it.waiting.entry.tokens }

    fun add(
        waiting: WaitingEntry,
        now: Instant,
    ) {
        val earlier = running.put(waiting.entry.id, RunningEntry(waiting, now))
        check(earlier == null) { "entry runs already: ${waiting.entry.id}" }
    }

    operator fun get(id: AttemptId): RunningEntry? = running[id]

    fun remove(id: AttemptId): RunningEntry? = running.remove(id)

    /** Returns whether an online entry that started within [hold] has produced nothing yet. */
    fun awaitsFirstToken(
        hold: Duration,
        now: Instant,
    ): Boolean = running.values.any { !it.batch && !it.answering && now - it.started < hold }

    fun fits(
        entry: QueueEntry,
        settings: QueueSettings,
    ): Boolean = running.size < settings.window && tokens + entry.tokens <= settings.tokenBudget

    /**
     * Returns the batch entries that must stop so that [entry] can run, or null when even that makes no room.
     *
     * Those that lose the least work come first, and among equals the one that started last.
     */
    fun victims(
        entry: QueueEntry,
        settings: QueueSettings,
    ): List<RunningEntry>? {
        val candidates =
            running.values
                .filter { it.batch }
                .reversed()
                .sortedBy { it.lostTokens }
        var slots = settings.window - running.size
        var room = settings.tokenBudget - tokens
        val victims = ArrayList<RunningEntry>()
        for (candidate in candidates) {
            if (slots > 0 && room >= entry.tokens) {
                break
            }
            victims.add(candidate)
            slots += 1
            room += candidate.waiting.entry.tokens
        }
        return victims.takeIf { slots > 0 && room >= entry.tokens }
    }
}

/** An entry that runs since [started]. */
internal class RunningEntry(
    val waiting: WaitingEntry,
    val started: Instant,
) {
    /** Tokens that this run and earlier ones produced. */
    var produced: Int = waiting.produced
        private set

    /** Whether this run has produced anything. */
    var answering: Boolean = false
        private set

    val batch: Boolean get() = waiting.entry.requestClass == RequestClass.BATCH

    /** Tokens that the engine takes in before this run produces the first one. */
    val prefillTokens: Int get() = waiting.entry.promptTokens + waiting.produced

    /** Tokens that the engine has to take in again when the entry is stopped now and resumed later. */
    val lostTokens: Int get() = if (answering) waiting.entry.promptTokens + produced else 0

    /** Takes in that [tokens] tokens are there in all and returns whether they are the first of this run. */
    fun progress(tokens: Int): Boolean {
        val first = !answering
        answering = true
        produced = maxOf(produced, tokens)
        return first
    }
}
