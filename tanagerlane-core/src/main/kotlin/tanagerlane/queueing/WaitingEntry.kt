package tanagerlane.queueing

import kotlin.time.Instant

/**
 * An entry in a queue.
 *
 * @property arrivedAt time of arrival
 * @property sequence position among all entries in order of arrival
 * @property producedTokens tokens produced by earlier runs
 * @property hasStarted whether an earlier run reached the target
 */
internal data class WaitingEntry(
    val entry: QueueEntry,
    val arrivedAt: Instant,
    val sequence: Long,
    val producedTokens: Int = 0,
    val hasStarted: Boolean = false,
)
