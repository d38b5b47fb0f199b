package tanagerlane.standin.engine

import kotlinx.serialization.Serializable

/** An order to load or change what the engine serves; null leaves a part as it is. */
@Serializable
public data class EngineOrder(
    val fencing: Long,
    val model: String? = null,
    val adapter: String? = null,
    val version: String? = null,
    val role: String? = null,
)
