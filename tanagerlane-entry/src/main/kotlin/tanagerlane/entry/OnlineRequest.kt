package tanagerlane.entry

import tanagerlane.message.Repeat
import tanagerlane.message.Work
import tanagerlane.model.RequestId
import tanagerlane.model.WorkspaceName
import kotlin.time.Instant

/**
 * An authenticated and charged request; it does not contain the caller's key.
 *
 * @property workspace workspace of the caller's key, or null on an open route, which needs no key
 * @property charge proof that the request was charged to a rate
 * @property idempotent whether running the request more than once is safe
 * @property traceParent W3C trace context of the entry's span, or null if there is none
 * @property repeat idempotency key and digest, or null if the client sent no idempotency key or the route is open
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
