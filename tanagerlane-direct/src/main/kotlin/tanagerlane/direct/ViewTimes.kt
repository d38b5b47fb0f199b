package tanagerlane.direct

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

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
) {
    companion object {
        val CONFIGURATION =
            ViewTimes(watchTimeout = 1.seconds, pause = 50.milliseconds, updateTimeout = 1400.milliseconds)
        val TARGETS = ViewTimes(watchTimeout = 1.seconds, pause = 400.milliseconds, updateTimeout = 1000.milliseconds)
        val JOBS = ViewTimes(watchTimeout = 2.seconds, pause = 50.milliseconds, updateTimeout = 2500.milliseconds)
        val REMOVALS = ViewTimes(watchTimeout = 2.seconds, pause = 500.milliseconds, updateTimeout = 3.seconds)
        val MEMBERS = ViewTimes(watchTimeout = 5.seconds, pause = 200.milliseconds, updateTimeout = 6.seconds)
    }
}
