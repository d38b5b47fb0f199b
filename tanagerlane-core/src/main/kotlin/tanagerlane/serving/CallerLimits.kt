package tanagerlane.serving

/**
 * Limits on the requests of callers.
 *
 * @property maximumBodyBytes maximum size of a request body in bytes
 */
public data class CallerLimits(
    val maximumBodyBytes: Int,
)
