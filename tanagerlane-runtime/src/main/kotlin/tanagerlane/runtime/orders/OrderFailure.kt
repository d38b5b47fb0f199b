package tanagerlane.runtime.orders

import tanagerlane.model.Revision
import tanagerlane.runtime.DocumentFault
import tanagerlane.store.StoreFailure

/** Why an operator's order was not read or made. */
public sealed interface OrderFailure {
    /** Another operator's order [current] was stored after [base]; this one was not made. */
    public data class Conflict(
        val base: Revision,
        val current: Revision,
    ) : OrderFailure

    /** The stored order is not a document of this type. */
    public data class Unreadable(
        val fault: DocumentFault,
    ) : OrderFailure

    /** The order could not be read, and nothing was changed. */
    public data class NotRead(
        val failure: StoreFailure,
    ) : OrderFailure

    /** Nothing was changed. */
    public data class NotMade(
        val failure: StoreFailure,
    ) : OrderFailure

    /** The change may or may not have been made. */
    public data object OutcomeUnknown : OrderFailure
}
