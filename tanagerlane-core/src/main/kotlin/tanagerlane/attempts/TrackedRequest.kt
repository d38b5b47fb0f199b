package tanagerlane.attempts

import tanagerlane.model.RequestId
import kotlin.time.Instant

/**
 * A request whose attempts are tracked by an entry.
 *
 * @property idempotent whether the request may safely run more than once
 * @property deadline time by which the caller must have an answer or a refusal
 */
public data class TrackedRequest(
    val id: RequestId,
    val idempotent: Boolean,
    val deadline: Instant,
)
