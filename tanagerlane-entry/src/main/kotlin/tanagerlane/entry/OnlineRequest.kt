package tanagerlane.entry

import tanagerlane.message.Repeat
import tanagerlane.message.Work
import tanagerlane.model.RequestId
import tanagerlane.model.WorkspaceName
import kotlin.time.Instant

/**
 * A caller's request after its key was checked; it no longer holds the key.
 *
 * @property workspace null on a route open to all
 * @property charge proof that the request was charged to a rate
 * @property idempotent whether a second run would do no harm
 * @property traceParent W3C trace context of the entry's span
 * @property repeat set when the client named a key for repeats
 */
internal data class OnlineRequest(
    val id: RequestId,
    val workspace: WorkspaceName?,
    val charge: Charge,
    val idempotent: Boolean,
    val deadline: Instant,
    val work: Work,
    val traceParent: String?,
    val repeat: Repeat?,
)
