package tanagerlane.direct

import kotlin.time.Duration

/**
 * How often a view is brought up to date.
 *
 * @property watchTimeout longest time that one watch waits
 * @property pause time between two watches, in which changes gather
 * @property updateTimeout time without news from others after which a process watches by itself
 */
internal data class ViewTimes(
    val watchTimeout: Duration,
    val pause: Duration,
    val updateTimeout: Duration,
)
