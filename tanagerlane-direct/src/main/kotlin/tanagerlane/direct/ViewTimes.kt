package tanagerlane.direct

import kotlin.time.Duration

/**
 * How often a view is brought up to date.
 *
 * @property wait longest time that one watch waits
 * @property pause time between two watches, in which changes gather
 * @property patience time without news from others after which a process watches by itself
 */
internal data class ViewTimes(
    val wait: Duration,
    val pause: Duration,
    val patience: Duration,
)
