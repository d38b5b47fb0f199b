package tanagerlane.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Load of a replay.
 *
 * @property rate requests per second at a time after the start, as a multiple of what all targets serve
 * @property hotFactor load of the first of [WORKSPACES] workspaces as a multiple of that of each other one, at a time
 * @property priorities priorities from which that of each request is drawn
 * @property lostTargets number of targets that end at [lossAt]
 */
internal data class ReplayLoad(
    val name: String,
    val entries: Int = 23,
    val rate: (Duration) -> Double,
    val hotFactor: (Duration) -> Double = { 1.0 },
    val lostTargets: Int = 0,
    val lossAt: Duration = 10.seconds,
    val priorities: List<Int> = listOf(0, 0, 1, 1, 2),
) {
    companion object {
        const val WORKSPACES = 8
    }
}
