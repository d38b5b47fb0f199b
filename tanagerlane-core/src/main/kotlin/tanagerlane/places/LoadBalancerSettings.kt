package tanagerlane.places

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of a [LoadBalancer].
 *
 * @property queueShare online requests that may queue at a target, as a fraction of its places
 * @property ampleFreePlaces number of free places from which targets rank equal for an online request
 * @property reportLifetime time for which the last report of a process counts when no further one is received
 * @property initialBackoff time for which a target is avoided after the first of consecutive failures
 * @property maximumBackoff upper limit of the time for which a target is avoided
 */
public data class LoadBalancerSettings(
    val queueShare: Double = 0.25,
    val ampleFreePlaces: Int = 2,
    val reportLifetime: Duration = 3.seconds,
    val initialBackoff: Duration = 200.milliseconds,
    val maximumBackoff: Duration = 4.seconds,
)
