package tanagerlane.attempts

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How a silent connection is noticed.
 *
 * @property pingInterval time between two pings
 * @property silenceBound time without anything received after which the connection is replaced
 * @property pauseBound time between two decisions from which on this host itself is taken to have been paused
 */
public data class LivenessSettings(
    val pingInterval: Duration = 500.milliseconds,
    val silenceBound: Duration = 2.seconds,
    val pauseBound: Duration = 1.seconds,
) {
    init {
        require(pingInterval < silenceBound) { "no ping before silence: $pingInterval >= $silenceBound" }
        require(pauseBound > pingInterval) { "pauses shorter than pings: $pauseBound <= $pingInterval" }
    }
}
