package tanagerlane.idempotency

import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestId
import tanagerlane.model.RunState

/** Decision of the home sidecar on a request with an idempotency key. */
public sealed interface ClaimDecision {
    /** The claim is granted: run the request. */
    public data object Granted : ClaimDecision

    /** The same request was already granted to this incarnation as [running]; share its answer. */
    public data class Joined(
        val running: RequestId,
    ) : ClaimDecision

    /** The request was answered before, and its answer was retained. */
    public data class Answered(
        val answer: StoredAnswer,
    ) : ClaimDecision

    /** Do not run the request; [runState] covers the request and all repeats that share its key. */
    public data class Refused(
        val runState: RunState,
        val reason: RefusalReason,
    ) : ClaimDecision
}
