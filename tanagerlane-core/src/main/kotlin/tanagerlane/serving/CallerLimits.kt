package tanagerlane.serving

import kotlin.time.Duration

/**
 * Limits on the requests of callers.
 *
 * @property maximumBodyBytes maximum size of a request body in bytes
 * @property maximumHeaderBytes maximum size of all headers of a request in bytes, or null if none is configured
 * @property headerTimeout time within which the headers of a request must arrive, or null if none is configured
 * @property idleTimeout time for which a connection without a request stays open, or null if none is configured
 */
public data class CallerLimits(
    val maximumBodyBytes: Int,
    val maximumHeaderBytes: Int? = null,
    val headerTimeout: Duration? = null,
    val idleTimeout: Duration? = null,
)
