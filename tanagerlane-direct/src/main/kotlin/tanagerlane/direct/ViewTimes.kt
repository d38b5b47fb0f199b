package tanagerlane.direct

import kotlin.time.Duration

/**
 * Intervals and timeouts for the synchronization of one view.
 *
 * @property watchTimeout maximum time that one watch call waits for a change
 * @property pause time between two watch calls, so that changes are read in batches
 * @property updateTimeout time without an update from other processes after which a process watches on its own
 */
internal data class ViewTimes(
    val watchTimeout: Duration,
    val pause: Duration,
    val updateTimeout: Duration,
)
