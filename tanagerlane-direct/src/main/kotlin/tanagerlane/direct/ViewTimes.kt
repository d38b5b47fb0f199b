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
 * @property asksPeers whether a process that has had no update for that time asks other processes as well
 * @property keepsHistory whether each change matters, so that a copy does not replace a view that updates may still follow
 */
internal data class ViewTimes(
    val watchTimeout: Duration,
    val pause: Duration,
    val updateTimeout: Duration,
    val asksPeers: Boolean = false,
    val keepsHistory: Boolean = false,
) {
    companion object {
        val CONFIGURATION = ViewTimes(1.seconds, pause = 50.milliseconds, updateTimeout = 1400.milliseconds)
        val TARGETS =
            ViewTimes(1.seconds, pause = 400.milliseconds, updateTimeout = 1000.milliseconds, keepsHistory = true)
        val JOBS = ViewTimes(2.seconds, pause = 50.milliseconds, updateTimeout = 2500.milliseconds)
        val REMOVALS = ViewTimes(2.seconds, pause = 500.milliseconds, updateTimeout = 3.seconds)
        val MEMBERS = ViewTimes(5.seconds, pause = 200.milliseconds, updateTimeout = 6.seconds)
        private val EVACUATION_BOUNDS = 200.milliseconds..10.seconds

        /**
         * Returns the times for evacuations that have to be in force within [bound].
         *
         * A process that hears from no watcher has a third of the bound left after the timeout to ask the object API and
         * its peers.
         */
        fun evacuations(bound: Duration): ViewTimes {
            val limited = bound.coerceIn(EVACUATION_BOUNDS)
            return ViewTimes(limited / 2, pause = limited / 20, updateTimeout = limited * 2 / 3, asksPeers = true)
        }
    }
}
