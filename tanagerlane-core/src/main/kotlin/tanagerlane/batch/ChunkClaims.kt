package tanagerlane.batch

import tanagerlane.job.ChunkState

/** Number of items that have a result. */
public val ChunkState.doneItems: Int get() = done.itemCount()

/** Whether every item has a result. */
public val ChunkState.isFinished: Boolean get() = doneItems == items

/** Returns the recorded number of attempts of [item] that ended without a result. */
public fun ChunkState.attemptsOf(item: Int): Int = losses.countOf(item) + failures.countOf(item)

/** Returns the items without a result, ordered by number of attempts. */
public fun ChunkState.pendingItems(): List<Int> {
    val finished = done.toItems()
    return (0..<items).filter { it !in finished }.sortedBy { attemptsOf(it) }
}

/** Whether [claimant] holds the claim. */
public fun ChunkState.isHeldBy(claimant: Claimant): Boolean =
    owner == claimant.owner && incarnation == claimant.incarnation

/**
 * Returns whether [claimant] may claim the chunk.
 *
 * The holder of a claim by an earlier incarnation of the claimant's own host has certainly stopped.
 *
 * @param leaseExpired whether the claimant itself observed the claim unchanged for the whole lease term
 */
public fun ChunkState.isClaimable(
    claimant: Claimant,
    leaseExpired: Boolean,
): Boolean =
    when {
        isFinished -> false
        owner == null || leaseExpired -> true
        else -> owner == claimant.owner && incarnation.number < claimant.incarnation.number
    }

/**
 * Returns the state to write in order to claim the chunk.
 *
 * Counts one more loss for every item that the last holder may have been running. A holder that released the chunk
 * leaves no such item.
 */
public fun ChunkState.claimedBy(
    claimant: Claimant,
    rules: BatchRules,
): ChunkState {
    val finished = done.toItems()
    val suspected = window.filter { it !in finished }
    val charged = copy(losses = losses.incremented(suspected, items))
    val claimed =
        charged.copy(
            owner = claimant.owner,
            incarnation = claimant.incarnation,
            epoch = epoch + 1,
        )
    return claimed.copy(window = claimed.nextWindow(running = emptySet(), rules = rules))
}

/** Whether the item must run alone, because it may be the cause of the loss of its holders. */
internal fun ChunkState.runsAlone(
    item: Int,
    rules: BatchRules,
): Boolean = losses.countOf(item) > 0 && losses.countOf(item) + 1 >= rules.itemAttempts

/**
 * Whether the item may not be attempted again.
 *
 * Losses and failures are counted separately, because a loss is charged to every item that may have been running and
 * does not identify the cause until an item ran alone.
 */
internal fun ChunkState.isExhausted(
    item: Int,
    rules: BatchRules,
): Boolean = losses.countOf(item) >= rules.itemAttempts || failures.countOf(item) >= rules.itemAttempts

/**
 * Returns the items that may run until the next checkpoint, including those in [running].
 *
 * As long as no holder was lost, the window is the whole chunk. Afterwards it is kept small, and an item on its last
 * attempt after a loss gets a window of its own, so that a further loss is charged to the item that caused it.
 */
internal fun ChunkState.nextWindow(
    running: Set<Int>,
    rules: BatchRules,
): List<Int> {
    val open = pendingItems().filter { !isExhausted(it, rules) }
    if (losses.size == 0) {
        return open
    }
    val waiting = open.filter { it !in running }
    val shared = waiting.filter { !runsAlone(it, rules) }
    val freeItems = (rules.maximumWindowItems - running.size).coerceAtLeast(0)
    return when {
        shared.isNotEmpty() -> running + shared.take(freeItems)
        running.isEmpty() -> waiting.take(1)
        else -> running
    }.sorted()
}
