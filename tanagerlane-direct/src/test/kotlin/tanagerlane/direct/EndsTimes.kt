package tanagerlane.direct

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Times of an [EndsScene]. */
internal object EndsTimes {
    val KEPT_INTERVAL = 50.milliseconds
    val STOP_TIME = 4.seconds

    /** Time after the signal to stop at which requests are refused, and open ones still answered. */
    val REFUSAL_TIME = 2.seconds
    val SETTLING_TIME = 200.milliseconds
    val TIME_UNTIL_RELEASE = 500.milliseconds

    /** Time between a change of the configuration and the stop that follows it. */
    val TIME_UNTIL_STOP = 200.milliseconds

    /** Time for which a target stays silent while another one has free places. */
    val TIME_ELSEWHERE = 800.milliseconds
    val TIME_FOR_LATE_EFFECTS = 500.milliseconds

    /** Time for which callers of results wait. */
    val RESULTS_TIME: Duration = 1.5.seconds

    /** Timeout of the routes and half a second. */
    val ROUTE_TIME: Duration = 5.5.seconds
}
