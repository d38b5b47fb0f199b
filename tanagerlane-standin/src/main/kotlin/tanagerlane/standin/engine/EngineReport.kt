package tanagerlane.standin.engine

/** What the engine last reported about itself. */
internal data class EngineReport(
    val load: EngineLoad = EngineLoad(),
    val events: List<CacheEvent> = emptyList(),
)
