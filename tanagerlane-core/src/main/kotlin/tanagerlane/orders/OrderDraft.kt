package tanagerlane.orders

import tanagerlane.model.Revision
import tanagerlane.model.TargetName

/**
 * An operator's change that is yet to be stored.
 *
 * @property identity random identifier of this change
 * @property base revision on which the operator based the change; 0 for none
 */
public data class OrderDraft(
    val target: TargetName,
    val identity: String,
    val wanted: WantedState,
    val base: Revision,
) {
    /** Returns how to proceed when [current] is the stored order; null means that none is stored. */
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
