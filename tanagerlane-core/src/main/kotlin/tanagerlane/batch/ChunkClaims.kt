package tanagerlane.batch

import tanagerlane.job.ChunkState

/** Number of items that have a result. */
public val ChunkState.doneItems: Int get() = done.itemCount()

/** Whether every item has a result. */
public val ChunkState.isFinished: Boolean get() = doneItems == items

/** Returns how often [item] was attempted without a result, as far as is recorded. */
public fun ChunkState.attemptsOf(item: Int): Int = losses.countOf(item) + failures.countOf(item)

/** Returns the items without a result, those with fewer attempts first. */
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
 * A claim of its own host under an earlier incarnation has lost its holder for certain.
 *
 * @param leaseExpired whether the claimant itself saw the claim unchanged for the whole lease term
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
 * Every item that the last holder may have been running counts as attempted once more; a holder that released the
 * chunk has left no such item.
 */
public fun ChunkState.claimedBy(
    claimant: Claimant,
    rules: BatchRules,
): ChunkState {
    val finished = done.toItems()
    val suspected = window.filter { it !in finished }
    val charged = copy(losses = losses.raised(suspected, items))
    val claimed =
        charged.copy(
            owner = claimant.owner,
            incarnation = claimant.incarnation,
            epoch = epoch + 1,
        )
    return claimed.copy(window = claimed.nextWindow(running = emptySet(), rules = rules))
}

/** Whether the item must run with no other, because it may be what its holders were lost to. */
internal fun ChunkState.runsAlone(
    item: Int,
    rules: BatchRules,
): Boolean = losses.countOf(item) > 0 && losses.countOf(item) + 1 >= rules.itemAttempts

/**
 * Whether the item may not be tried again.
 *
 * Losses and failures count apart, because a loss is charged to every item that may have been running and says
 * little about any one of them until it ran alone.
 */
internal fun ChunkState.isExhausted(
    item: Int,
    rules: BatchRules,
): Boolean = losses.countOf(item) >= rules.itemAttempts || failures.countOf(item) >= rules.itemAttempts

/**
 * Returns the items that may run until the next checkpoint, [running] among them.
 *
 * While no holder was lost that is the whole chunk; afterwards it is kept small, and an item on its last attempt
 * after a loss has a window of its own, so that a further loss is charged to the item that caused it.
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
    val room = (rules.maximumWindowItems - running.size).coerceAtLeast(0)
    return when {
        shared.isNotEmpty() -> running + shared.take(room)
        running.isEmpty() -> waiting.take(1)
        else -> running
    }.sorted()
}
