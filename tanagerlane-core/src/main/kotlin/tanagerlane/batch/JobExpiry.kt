package tanagerlane.batch

import tanagerlane.store.ObjectKey
import kotlin.time.Instant

/** Returns when [claimant] deletes the job at [header], which ended at [endedAt]; other claimants wait longer or less. */
public fun expiryOf(
    header: ObjectKey,
    endedAt: Instant,
    claimant: Claimant,
    rules: BatchRules,
): Instant {
    val part = mixed("$header|${claimant.owner}".hashCode().toLong()).mod(SPREAD_PARTS)
    return endedAt + rules.resultRetention + rules.expiryJitter * part / SPREAD_PARTS
}

private const val SPREAD_PARTS = 1000
