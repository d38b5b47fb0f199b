package tanagerlane.standin.engine

import kotlinx.serialization.Serializable

/** Load that the engine reports. */
@Serializable
public data class EngineLoad(
    val running: Int = 0,
    val waiting: Int = 0,
)
