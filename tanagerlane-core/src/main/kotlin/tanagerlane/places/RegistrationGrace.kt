package tanagerlane.places

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How an outage of the object API is detected, and how long targets have to register again after it.
 *
 * @property outageThreshold time without a listing after which the object API counts as having been unavailable
 * @property gracePeriod time within which a running target registers again
 */
public data class RegistrationGrace(
    val outageThreshold: Duration = 1500.milliseconds,
    val gracePeriod: Duration = 2.seconds,
)
