package tanagerlane.attempts

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of an [AttemptTracker].
 *
 * @property replyTimeout time for a sidecar to answer an offer or a question before a new connection is opened
 * @property resolveTimeout time for which the outcome of an idempotent attempt is sought before another one is made
 * @property maximumAttempts most attempts of one request
 * @property maximumReorderedBytes most bytes kept that arrived before those that precede them
 */
public data class AttemptPolicy(
    val replyTimeout: Duration = 500.milliseconds,
    val resolveTimeout: Duration = 2.seconds,
    val maximumAttempts: Int = 3,
    val maximumReorderedBytes: Int = 1 shl 20,
)
