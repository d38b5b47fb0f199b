package tanagerlane.runtime.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times by which a [ConfigurationWatcher] calls the store.
 *
 * @property period time from one call to the next, whether or not the first has been answered
 * @property answerBound time beside the wait of a watch after which an unanswered call counts as failed
 * @property tick time between two looks at what is due to neighbours
 * @property outstanding most calls that may be unanswered at once
 */
public data class WatcherSettings(
    val period: Duration = 1.seconds,
    val answerBound: Duration = 1500.milliseconds,
    val tick: Duration = 250.milliseconds,
    val outstanding: Int = 8,
)
