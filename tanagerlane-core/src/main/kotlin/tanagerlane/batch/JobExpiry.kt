package tanagerlane.batch

import tanagerlane.store.ObjectKey
import kotlin.time.Instant

/** Returns when [claimant] deletes the job at [header], which ended at [endedAt]; the time differs by claimant. */
public fun expiryOf(
    header: ObjectKey,
    endedAt: Instant,
    claimant: Claimant,
    rules: BatchRules,
): Instant {
    val step = mixBits("$header|${claimant.owner}".hashCode().toLong()).mod(JITTER_STEPS)
    return endedAt + rules.resultRetention + rules.expiryJitter * step / JITTER_STEPS
}

private const val JITTER_STEPS = 1000
