package tanagerlane.limits

import tanagerlane.message.EntrySlot
import tanagerlane.store.ObjectVersion

/** The object of one slot as read from the store; [value] and [version] are null if there is no object. */
public data class SlotRecord(
    val slot: Int,
    val value: EntrySlot?,
    val version: ObjectVersion?,
)
