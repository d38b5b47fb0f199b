package tanagerlane.store

import tanagerlane.model.Payload

/** An object read from the object API, with its version. */
public data class StoredObject(
    val key: ObjectKey,
    val version: ObjectVersion,
    val value: Payload,
)
