package tanagerlane.runtime.orders

import tanagerlane.orders.StoredOrder
import tanagerlane.store.ObjectVersion

/** A target's order as it was read; both are null when there is none. */
public data class ReadOrder(
    val order: StoredOrder?,
    val version: ObjectVersion?,
)
