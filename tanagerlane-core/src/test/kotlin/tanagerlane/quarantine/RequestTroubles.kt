package tanagerlane.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Troubles of a simulated day on which requests are sent again.
 *
 * @property services number of services with [targetsPerService] targets each
 * @property deadlyPause mean time from one coming of the request that crashes targets to the next, or null if none comes
 * @property targetsAtOnce number of neighbouring targets that crash together; as many as a service has are one service
 * @property crashPause time from one such crash to the next
 * @property crashSpread time within which targets that crash together have crashed
 * @property observerDelay time within which an entry notices the loss of a request
 * @property restartPause time from the restart of one entry to that of the next
 * @property freezePause time from the freeze of one entry to that of the next
 * @property lossShare share of datagrams that are lost
 */
internal data class RequestTroubles(
    val name: String,
    val entries: Int = 6,
    val services: Int = 3,
    val targetsPerService: Int = 4,
    val deadlyPause: Duration? = null,
    val targetsAtOnce: Int = 1,
    val crashPause: Duration? = null,
    val crashSpread: Duration = 15.milliseconds,
    val observerDelay: Duration = 15.milliseconds,
    val restartPause: Duration? = null,
    val freezePause: Duration? = null,
    val lossShare: Double = 0.1,
    val length: Duration = 60.seconds,
)

/** What a simulated day with repeated requests has shown. */
internal class RequestOutcome {
    /** Times at which the deadly request was sent to a target. */
    val deadlySent = ArrayList<Instant>()
    val deadlyCrashes = ArrayList<Instant>()
    var deadlyRefused = 0
    var otherCrashes = 0
    var soundSent = 0

    /** Number of refused sound requests by the kind of request. */
    val soundRefused = HashMap<String, Int>()

    override fun toString(): String =
        "${deadlySent.size} deadly sent, $deadlyRefused refused, ${deadlyCrashes.size} crashes, " +
            "$otherCrashes others, $soundSent sound sent, refused $soundRefused"
}
