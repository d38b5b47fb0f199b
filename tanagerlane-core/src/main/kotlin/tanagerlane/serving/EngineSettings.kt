package tanagerlane.serving

/**
 * The engine that runs at each target of a service.
 *
 * @property places number of requests that it runs concurrently, or null if it is not configured
 * @property memoryTokens tokens that its running requests and the cached parts of prompts may occupy together, or null
 */
public data class EngineSettings(
    val places: Int? = null,
    val memoryTokens: Long? = null,
)
