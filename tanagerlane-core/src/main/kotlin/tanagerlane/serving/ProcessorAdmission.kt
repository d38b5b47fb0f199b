package tanagerlane.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides whether a process that is short of its own processor takes another request.
 *
 * It answers a load of several times what the processor can serve, as after a start on a slow host: without it each
 * request waits behind all others, and all of them miss their deadlines.
 */
public object ProcessorAdmission {
    /** Part of its latency objective for which a request may wait for the processor. */
    private const val OBJECTIVE_SHARE = 0.5
    private val MINIMUM_RETRY_AFTER = 200.milliseconds

    /**
     * Returns null if a request is taken, or the time after which a retry may be.
     *
     * @param delay how long work waits for the processor at present
     * @param objective latency within which the request should be answered
     */
    public fun retryAfter(
        delay: Duration,
        objective: Duration,
    ): Duration? = maxOf(delay, MINIMUM_RETRY_AFTER).takeIf { delay > objective * OBJECTIVE_SHARE }
}
