package tanagerlane.pace

import tanagerlane.model.TargetName

/**
 * What another process has observed of a target since its previous report.
 *
 * @property window requests that all processes may have in flight at the target, according to the sender
 * @property isFirst whether this is the first report of the sender, which only tells the window
 */
internal data class PaceChange(
    val target: TargetName,
    val inTime: Long,
    val late: Long,
    val failed: Long,
    val window: Int,
    val isFirst: Boolean = false,
)
