package tanagerlane.callers

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Bounds the number of log lines about one matter to [maximum] in each [period]. */
public class LogQuota(
    private val maximum: Int = 10,
    private val period: Duration = 10.seconds,
) {
    private var periodEnd = Instant.DISTANT_PAST
    private var lines = 0
    private var suppressed = 0L

    /** Returns null if no line may be written, or else the number of lines that were left out before this one. */
    public fun tryTake(now: Instant): Long? {
        if (now >= periodEnd) {
            periodEnd = now + period
            lines = 0
        }
        if (lines == maximum) {
            suppressed++
            return null
        }
        lines++
        return suppressed.also { suppressed = 0 }
    }
}
