package tanagerlane.idempotency

import tanagerlane.model.RefusalReason
import tanagerlane.model.RequestId
import tanagerlane.model.RunState

/** What a home sidecar does with a request that came with an idempotency key. */
public sealed interface ClaimDecision {
    /** The right to run is agreed: run it. */
    public data object Granted : ClaimDecision

    /** The same request was granted as [running] at this incarnation: its answer is the answer. */
    public data class Joined(
        val running: RequestId,
    ) : ClaimDecision

    /** The request was answered before; the answer was kept. */
    public data class Answered(
        val answer: StoredAnswer,
    ) : ClaimDecision

    /** Do not run it; [runState] speaks of the request and of the repeats that share its key. */
    public data class Refused(
        val runState: RunState,
        val reason: RefusalReason,
    ) : ClaimDecision
}
