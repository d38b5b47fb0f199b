package tanagerlane.direct

import tanagerlane.model.SoftwareVersion
import tanagerlane.model.TargetName
import tanagerlane.places.DirectTarget

/**
 * Rule on which targets can continue the text of an item.
 *
 * @property version software version of the targets that sent the events so far
 * @property failedAt targets at which runs have failed since the last event
 */
internal data class ContinuationRule(
    val version: SoftwareVersion,
    val failedAt: Set<TargetName>,
) {
    /** Returns whether a run at [target] can continue the text. */
    fun permits(target: DirectTarget): Boolean = target.version == version && target.name !in failedAt
}
