package tanagerlane.admission

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.Instant

/**
 * Forecasts the rate of arrivals: the present rate returns to the mean of the last seconds.
 *
 * Not thread-safe.
 */
internal class ArrivalForecast {
    private val recent = DecayingRate(RECENT_WINDOW)
    private val usual = DecayingRate(USUAL_WINDOW)

    /** Records an arrival. */
    fun arrived(now: Instant) {
        recent.add(now)
        usual.add(now)
    }

    /** Returns the expected arrivals per second, [ahead] after [now]. */
    fun perSecond(
        ahead: Duration,
        now: Instant,
    ): Double {
        val mean = usual.at(now)
        return mean + (recent.at(now) - mean) * exp(-(ahead / RETURN_TIME))
    }

    private class DecayingRate(
        private val window: Duration,
    ) {
        private var firstAt: Instant? = null
        private var countedAt: Instant? = null
        private var count = 0.0

        fun add(now: Instant) {
            if (firstAt == null) firstAt = now
            count = decayed(now) + 1
            countedAt = now
        }

        /** Shortly after the first arrival, the rate is taken over the time since it, but not over less than a tenth. */
        fun at(now: Instant): Double {
            val age = firstAt?.let { now - it } ?: return 0.0
            val observed = (1 - exp(-(age / window))).coerceAtLeast(MINIMUM_OBSERVED)
            return decayed(now) / (window.toDouble(DurationUnit.SECONDS) * observed)
        }

        private fun decayed(now: Instant): Double {
            val elapsed = countedAt?.let { (now - it).coerceAtLeast(Duration.ZERO) } ?: return 0.0
            return count * exp(-(elapsed / window))
        }
    }

    private companion object {
        val RECENT_WINDOW = 0.5.seconds
        val USUAL_WINDOW = 10.seconds

        /** Time in which a difference from the usual rate falls to a third; peaks last some seconds. */
        val RETURN_TIME = 1.seconds
        const val MINIMUM_OBSERVED = 0.1
    }
}
