package tanagerlane.attempts

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts and limits of an [AttemptTracker].
 *
 * @property replyTimeout time for a sidecar to answer an offer or a [Resolve][tanagerlane.message.Resolve] before a new
 * connection is opened
 * @property resolveTimeout time spent resolving the outcome of an idempotent attempt before the next attempt is made
 * @property maximumAttempts maximum number of attempts of one request
 * @property maximumReorderedBytes maximum number of bytes buffered because they arrived ahead of preceding bytes
 */
public data class AttemptPolicy(
    val replyTimeout: Duration = 500.milliseconds,
    val resolveTimeout: Duration = 2.seconds,
    val maximumAttempts: Int = 3,
    val maximumReorderedBytes: Int = 1 shl 20,
)
