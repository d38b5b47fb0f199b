package tanagerlane.orders

import tanagerlane.model.Revision
import tanagerlane.model.TargetName

/**
 * An operator's change that is to be stored.
 *
 * @property identity drawn at random for this change
 * @property base revision that the operator has seen; 0 for none
 */
public data class OrderDraft(
    val target: TargetName,
    val identity: String,
    val wanted: WantedState,
    val base: Revision,
) {
    /** Decides what to do when [current] is stored. */
    public fun decide(current: StoredOrder?): DraftStep =
        when {
            current?.identity == identity -> DraftStep.AlreadyStored(current.revision)
            revisionOf(current) != base -> DraftStep.Conflict(revisionOf(current))
            else -> DraftStep.Write(order(current))
        }

    private fun order(current: StoredOrder?) =
        StoredOrder(
            target = target,
            revision = Revision(base.number + 1),
            identity = identity,
            wanted = wanted,
            phase = OrderPhase.WANTED,
            lease = current?.lease,
        )

    private fun revisionOf(current: StoredOrder?): Revision = current?.revision ?: Revision(0)
}
