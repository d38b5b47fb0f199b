package tanagerlane.attempts

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings for the detection of dead connections.
 *
 * @property pingInterval time between pings
 * @property silenceTimeout time without received data after which the connection is replaced
 * @property pauseThreshold minimum time between two decisions from which a pause of this host itself is inferred
 */
public data class LivenessSettings(
    val pingInterval: Duration = 500.milliseconds,
    val silenceTimeout: Duration = 2.seconds,
    val pauseThreshold: Duration = 1.seconds,
) {
    init {
        require(pingInterval < silenceTimeout) {
            "pingInterval must be less than silenceTimeout: $pingInterval >= $silenceTimeout"
        }
        require(pauseThreshold > pingInterval) {
            "pauseThreshold must exceed pingInterval: $pauseThreshold <= $pingInterval"
        }
    }
}
