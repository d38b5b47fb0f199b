package tanagerlane.store

import tanagerlane.model.Payload

/** An object as it was read. */
public data class StoredObject(
    val key: ObjectKey,
    val version: ObjectVersion,
    val value: Payload,
)
