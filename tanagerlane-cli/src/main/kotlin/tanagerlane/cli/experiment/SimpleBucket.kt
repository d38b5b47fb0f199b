package tanagerlane.cli.experiment

import kotlin.time.DurationUnit
import kotlin.time.Instant

/** A token bucket that starts full, known to one host only. */
internal class SimpleBucket(
    private val perSecond: Double,
    private val burst: Double,
    private var refilledAt: Instant,
) {
    private var level = burst

    fun take(now: Instant): Boolean {
        level = minOf(burst, level + (now - refilledAt).toDouble(DurationUnit.SECONDS) * perSecond)
        refilledAt = now
        if (level < 1.0) {
            return false
        }
        level -= 1.0
        return true
    }
}
