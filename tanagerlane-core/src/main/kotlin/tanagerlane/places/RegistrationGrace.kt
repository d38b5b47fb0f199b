package tanagerlane.places

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times that decide on lapsed registrations.
 *
 * @property gap time without any listing after which the object API counts as having been away
 * @property registration time within which a living target registers again
 */
public data class RegistrationGrace(
    val gap: Duration = 1500.milliseconds,
    val registration: Duration = 2.seconds,
)
