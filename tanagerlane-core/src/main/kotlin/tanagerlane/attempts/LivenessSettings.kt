package tanagerlane.attempts

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How a silent connection is noticed.
 *
 * @property pingInterval time between two pings
 * @property silenceTimeout time without anything received after which the connection is replaced
 * @property pauseThreshold time between two decisions from which on this host itself is taken to have been paused
 */
public data class LivenessSettings(
    val pingInterval: Duration = 500.milliseconds,
    val silenceTimeout: Duration = 2.seconds,
    val pauseThreshold: Duration = 1.seconds,
) {
    init {
        require(pingInterval < silenceTimeout) { "no ping before silence: $pingInterval >= $silenceTimeout" }
        require(pauseThreshold > pingInterval) { "pauses shorter than pings: $pauseThreshold <= $pingInterval" }
    }
}
