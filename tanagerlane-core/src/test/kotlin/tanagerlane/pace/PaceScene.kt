package tanagerlane.pace

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A simulated deployment.
 *
 * @property pacing whether the adaptive limit replaces the backoff
 * @property coldRate declared rate of cold targets, or null
 * @property rate mean of the requests per second of all entries together
 * @property isCut whether no entry receives reports of another
 * @property down times at which a target stops answering, each followed by its recovery [downTime] later
 * @property faulty number of entries whose requests all fail, whatever the target
 * @property isReplaced whether a target comes back under a new name, as a worker that was started again
 * @property coldAt times at which a target turns cold without a failure
 * @property restarts times at which an entry is replaced by a new process of the same host
 */
internal data class PaceScene(
    val name: String,
    val pacing: Boolean = true,
    val coldRate: Double? = null,
    val entries: Int = 22,
    val runners: Int = 0,
    val targets: Int = 12,
    val rate: Double = 100.0,
    val isCut: Boolean = false,
    val down: Map<Int, Duration> = emptyMap(),
    val downTime: Duration = 3.seconds,
    val isReplaced: Boolean = false,
    val faulty: Int = 0,
    val coldAt: Map<Int, Duration> = emptyMap(),
    val restarts: List<Duration> = emptyList(),
    val length: Duration = 30.seconds,
)
