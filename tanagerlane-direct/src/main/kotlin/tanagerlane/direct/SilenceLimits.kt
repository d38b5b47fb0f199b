package tanagerlane.direct

import tanagerlane.serving.ServingRoute
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How long the target of an answer may be silent.
 *
 * @property silence time without a piece after which another target is considered
 * @property event time for an event that has begun after which another target is considered
 * @property maximumSilence time without a piece after which the answer counts as broken
 * @property maximumEvent time after which an event that has begun and is not complete counts as broken
 */
internal data class SilenceLimits(
    val silence: Duration,
    val event: Duration,
    val maximumSilence: Duration,
    val maximumEvent: Duration,
) {
    companion object {
        /** Returns the limits for a stream of [route] that [possibleRuns] earlier targets may have run. */
        fun forStream(
            route: ServingRoute,
            possibleRuns: Int,
        ): SilenceLimits {
            val mayRepeat = route.isRepeatable && possibleRuns + 1 < route.attempts
            val pause = route.longestPause.takeIf { mayRepeat }
            val silence = pause?.times(PAUSES_PER_SILENCE) ?: MAXIMUM_SILENCE
            val maximum = maxOf(silence, MAXIMUM_SILENCE)
            return SilenceLimits(silence, silence * SILENCES_PER_EVENT, maximum, maximum * SILENCES_PER_EVENT)
        }

        /** Silence of a stream after which another target is considered, as a multiple of the longest pause. */
        private const val PAUSES_PER_SILENCE = 2

        /** Silence after which a stream is considered lost. */
        private val MAXIMUM_SILENCE = 30_000.milliseconds

        /** Time limit for one complete event, as a multiple of the silence. */
        private const val SILENCES_PER_EVENT = 4
    }
}
