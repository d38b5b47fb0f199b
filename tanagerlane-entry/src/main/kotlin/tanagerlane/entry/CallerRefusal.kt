package tanagerlane.entry

import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import kotlin.time.Duration

/**
 * An answer that says no.
 *
 * @property explanation sentence for the caller
 * @property retryAfter time after which a repeat may succeed, or null where it won't
 */
internal data class CallerRefusal(
    val reason: RefusalReason,
    val runState: RunState,
    val explanation: String,
    val retryAfter: Duration? = null,
)
