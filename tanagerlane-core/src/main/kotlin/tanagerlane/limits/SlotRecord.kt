package tanagerlane.limits

import tanagerlane.message.EntrySlot
import tanagerlane.store.ObjectVersion

/** The object of one slot as it was read; [value] and [version] are null where there is no object. */
public data class SlotRecord(
    val slot: Int,
    val value: EntrySlot?,
    val version: ObjectVersion?,
)
