package tanagerlane.queueing

import kotlin.time.Instant

/**
 * An entry that waits.
 *
 * @property offered when it came
 * @property sequence place among all entries in order of arrival
 * @property produced tokens that earlier runs produced
 * @property begun whether an earlier run reached the target
 */
internal data class WaitingEntry(
    val entry: QueueEntry,
    val offered: Instant,
    val sequence: Long,
    val produced: Int = 0,
    val begun: Boolean = false,
)
