package tanagerlane.standin.engine

import kotlinx.serialization.Serializable

/** Changes of the prefix cache; late, and some are missing. */
@Serializable
public data class CacheEvents(
    val events: List<CacheEvent>,
)
