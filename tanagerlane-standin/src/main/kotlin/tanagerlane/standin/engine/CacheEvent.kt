package tanagerlane.standin.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A change of the prefix cache.
 *
 * @property number rises by one with each change
 * @property block digest of the block and of all tokens before it
 */
@Serializable
public data class CacheEvent(
    val number: Long,
    val kind: Kind,
    val block: String,
) {
    /** What happened to the block. */
    @Serializable
    public enum class Kind {
        @SerialName("stored")
        STORED,

        @SerialName("evicted")
        EVICTED,
    }
}
