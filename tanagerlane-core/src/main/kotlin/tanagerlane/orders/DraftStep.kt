package tanagerlane.orders

import tanagerlane.model.Revision

/** What to do with an operator's change. */
public sealed interface DraftStep {
    /** It is stored already. */
    public data class AlreadyStored(
        val revision: Revision,
    ) : DraftStep

    /** Another operator's change, [current], was stored after the base. */
    public data class Conflict(
        val current: Revision,
    ) : DraftStep

    /** Write [order] under the condition that the version is still the one that was read. */
    public data class Write(
        val order: StoredOrder,
    ) : DraftStep
}
