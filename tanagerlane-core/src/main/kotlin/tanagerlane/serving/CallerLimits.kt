package tanagerlane.serving

/**
 * What callers may send.
 *
 * @property maximumBodyBytes longest body
 */
public data class CallerLimits(
    val maximumBodyBytes: Int,
)
