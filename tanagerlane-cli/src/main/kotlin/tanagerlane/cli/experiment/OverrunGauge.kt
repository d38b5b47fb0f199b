package tanagerlane.cli.experiment

import kotlin.time.DurationUnit
import kotlin.time.Instant

/** Finds the window that exceeds rate times length plus burst by most requests. */
internal class OverrunGauge(
    private val perSecond: Double,
    private val burst: Double,
) {
    private var excess = 0.0
    private var last: Instant? = null

    var worst: Double = Double.NEGATIVE_INFINITY
        private set

    fun arrived(now: Instant) {
        val drained = last?.let { (now - it).toDouble(DurationUnit.SECONDS) * perSecond } ?: 0.0
        excess = maxOf(0.0, excess - drained) + 1.0
        last = now
        worst = maxOf(worst, excess - burst)
    }
}
