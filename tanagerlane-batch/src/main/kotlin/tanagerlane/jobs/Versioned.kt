package tanagerlane.jobs

import tanagerlane.store.ObjectVersion

/** A decoded object with the version that was read. */
internal data class Versioned<T>(
    val value: T,
    val version: ObjectVersion,
)
