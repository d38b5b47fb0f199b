package tanagerlane.entry

import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import kotlin.time.Duration

/**
 * A refusal of a request.
 *
 * @property runState whether the request ran
 * @property explanation sentence for the caller
 * @property retryAfter time after which a retry may succeed, or null if a retry is not expected to
 */
internal data class CallerRefusal(
    val reason: RefusalReason,
    val runState: RunState,
    val explanation: String,
    val retryAfter: Duration? = null,
)
