package tanagerlane.standin.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What an engine server does besides generating.
 *
 * @property models models that it lists and runs
 * @property checksFencing whether orders with an old fencing number are refused
 * @property reportLag time between two readings of the load and of cache events
 * @property cacheEventGap one cache event in so many is never reported; 0 for none
 */
public data class EngineServerSettings(
    val engine: EngineSettings = EngineSettings(),
    val models: List<String> = listOf("finding-models"),
    val checksFencing: Boolean = false,
    val reportLag: Duration = 500.milliseconds,
    val cacheEventGap: Int = 10,
)
