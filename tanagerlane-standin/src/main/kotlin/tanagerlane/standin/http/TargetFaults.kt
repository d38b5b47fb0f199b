package tanagerlane.standin.http

import kotlinx.serialization.Serializable

/**
 * Faults of a stand-in that are switched on.
 *
 * @property delayMillis time that each call waits first
 * @property fail whether each call is answered with status 500
 * @property hang whether calls are never answered
 * @property reset whether the connection of each call is closed
 */
@Serializable
public data class TargetFaults(
    val delayMillis: Long = 0,
    val fail: Boolean = false,
    val hang: Boolean = false,
    val reset: Boolean = false,
)
