package tanagerlane.attempts

import tanagerlane.model.RequestId
import kotlin.time.Instant

/**
 * A request whose attempts an entry follows.
 *
 * @property idempotent whether a second run would do no harm
 * @property deadline when the caller must have heard something
 */
public data class TrackedRequest(
    val id: RequestId,
    val idempotent: Boolean,
    val deadline: Instant,
)
