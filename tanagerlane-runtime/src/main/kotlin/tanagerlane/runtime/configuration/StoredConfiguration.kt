package tanagerlane.runtime.configuration

import tanagerlane.inventory.Configuration
import tanagerlane.store.ObjectVersion

/** The configuration as it was read, with the version that the next write depends on. */
public data class StoredConfiguration(
    val configuration: Configuration,
    val version: ObjectVersion,
)
