package tanagerlane.batch

import tanagerlane.job.ChunkItem
import tanagerlane.job.ChunkState
import tanagerlane.job.ItemFailure
import tanagerlane.job.ItemResult
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.store.ObjectVersion

/**
 * A claimed chunk from the point of view of its holder.
 *
 * @property state the stored state
 * @property version version of the stored state
 * @property running items that are running
 * @property results results that are not stored by a checkpoint yet
 * @property failed items that failed since the last checkpoint; they are not started again until their count is
 * stored
 */
public data class HeldChunk(
    val state: ChunkState,
    val version: ObjectVersion,
    val items: List<ChunkItem>,
    val running: Set<Int> = emptySet(),
    val results: Map<Int, ItemResult> = emptyMap(),
    val failed: Map<Int, RefusalReason> = emptyMap(),
) {
    private val finished: Set<Int> by lazy { state.done.toItems() }

    /** Whether every item has a result, stored or not. */
    public val isComplete: Boolean get() = finished.size + results.size == state.items

    /** Whether no item can start or end before the next checkpoint. */
    public val needsCheckpoint: Boolean get() = running.isEmpty() && nextItem() == null

    /** Size of the answers that are not stored by a checkpoint yet, in bytes. */
    public val resultBytes: Int get() = results.values.sumOf { it.body.size }

    /** Number of items that may start before the next checkpoint. */
    public val startableItems: Int get() = if (hasRoom()) state.window.count(::isStartable) else 0

    /** Returns the item to start next, or null when none may start before the next checkpoint. */
    public fun nextItem(): Int? =
        if (hasRoom()) state.window.filter(::isStartable).minByOrNull(state::attemptsOf) else null

    /** Whether [item] must run while no other item runs on the host. */
    public fun runsAlone(
        item: Int,
        rules: BatchRules,
    ): Boolean = state.runsAlone(item, rules)

    /** Records that [item] has started. */
    public fun started(item: Int): HeldChunk = copy(running = running + item)

    /** Records the answer of [item]; one over [MAXIMUM_RESULT_BYTES] ends the item as failed. */
    public fun answered(
        item: Int,
        statusCode: Int,
        body: Payload,
    ): HeldChunk {
        val stored =
            if (body.size > MAXIMUM_RESULT_BYTES) {
                failure(item, ItemFailure.ANSWER_TOO_LARGE, null)
            } else {
                resultOf(item).copy(statusCode = statusCode, body = body)
            }
        return copy(running = running - item, results = results + (item to stored))
    }

    /** Records that [item] failed; it may be attempted again once the failure is stored. */
    public fun failed(
        item: Int,
        reason: RefusalReason,
    ): HeldChunk = copy(running = running - item, failed = failed + (item to reason))

    /** Records that [item] did not run; this does not count as an attempt. */
    public fun notRun(item: Int): HeldChunk = copy(running = running - item)

    /** Ends as failed the items that may not be attempted again, after their holders were lost too often. */
    public fun withExhaustedItemsFailed(rules: BatchRules): HeldChunk {
        val ended =
            state
                .pendingItems()
                .filter { it !in results && state.isExhausted(it, rules) }
                .associateWith { failure(it, ItemFailure.HOLDERS_LOST, null) }
        return copy(results = results + ended)
    }

    /**
     * Returns the objects that the next checkpoint has to write.
     *
     * @param release whether the claim is given up; no item may be running then
     */
    public fun checkpoint(
        rules: BatchRules,
        release: Boolean,
    ): CheckpointDraft {
        val counted = state.copy(failures = state.failures.incremented(failed.keys, state.items))
        val ended =
            failed
                .filterKeys { counted.isExhausted(it, rules) }
                .mapValues { (item, reason) -> failure(item, ItemFailure.ATTEMPTS_FAILED, reason) }
        val pages = pagesOf(results + ended, state)
        val results = pages.flatMap { it.results }
        val progressed =
            counted.copy(
                done = state.done.withItems((this.results + ended).keys),
                failed = state.failed + results.count { it.failure != null },
                pages = state.pages + pages.map { it.name },
            )
        return CheckpointDraft(state = progressed.afterCheckpoint(rules, release), pages = pages)
    }

    /** Restricts the window to items that may run whether or not the checkpoint of [draft] takes effect. */
    public fun windowDuringCheckpoint(draft: CheckpointDraft): HeldChunk {
        val allowed = draft.state.window.toSet()
        return copy(state = state.copy(window = state.window.filter { it in allowed }))
    }

    /** Applies [draft], which a checkpoint has stored as [version]. */
    public fun committed(
        draft: CheckpointDraft,
        version: ObjectVersion,
    ): HeldChunk {
        val stored = draft.state.done.toItems()
        val counted = failed.filterKeys { draft.state.failures.countOf(it) == state.failures.countOf(it) }
        return copy(
            state = draft.state,
            version = version,
            results = results.filterKeys { it !in stored },
            failed = counted,
        )
    }

    private fun ChunkState.afterCheckpoint(
        rules: BatchRules,
        release: Boolean,
    ): ChunkState =
        if (release || isFinished) {
            copy(owner = null, window = emptyList())
        } else {
            copy(window = nextWindow(running, rules))
        }

    private fun hasRoom(): Boolean = resultBytes < MAXIMUM_UNSTORED_BYTES

    private fun isStartable(item: Int): Boolean =
        item !in finished && item !in running && item !in results && item !in failed

    private fun failure(
        item: Int,
        failure: ItemFailure,
        reason: RefusalReason?,
    ): ItemResult = resultOf(item).copy(failure = failure, reason = reason)

    private fun resultOf(item: Int): ItemResult = ItemResult(line = items[item].line, customId = items[item].customId)

    public companion object {
        /** Maximum size of a stored answer, in bytes. */
        public const val MAXIMUM_RESULT_BYTES: Int = 512 * 1024

        /** Size of unstored answers, in bytes, at which no further item of the chunk is started. */
        public const val MAXIMUM_UNSTORED_BYTES: Int = 2 * 1024 * 1024
    }
}
