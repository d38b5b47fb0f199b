package tanagerlane.orders

import tanagerlane.model.Revision

/** How to proceed with an operator's change. */
public sealed interface DraftStep {
    /** The change is already stored as [revision]. */
    public data class AlreadyStored(
        val revision: Revision,
    ) : DraftStep

    /** Another operator's change was stored after the base; [current] is its revision. */
    public data class Conflict(
        val current: Revision,
    ) : DraftStep

    /** Write [order] on condition that the stored version is still the one that was read. */
    public data class Write(
        val order: StoredOrder,
    ) : DraftStep
}
