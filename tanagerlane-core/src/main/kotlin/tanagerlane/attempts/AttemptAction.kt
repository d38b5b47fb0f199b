package tanagerlane.attempts

import tanagerlane.message.Cancel
import tanagerlane.message.Header
import tanagerlane.message.Resolve
import tanagerlane.model.AttemptId
import tanagerlane.model.Incarnation
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import tanagerlane.model.TargetName
import kotlin.time.Duration
import kotlin.time.Instant

/** An action that an entry must take for a request. */
public sealed interface AttemptAction {
    /**
     * Pick a target, preferring those not in [tried].
     *
     * Answer with [AttemptEvent.TargetPicked] or [AttemptEvent.NoTarget].
     */
    public data class PickTarget(
        val tried: Set<TargetName>,
        val attemptNumber: Int,
    ) : AttemptAction

    /**
     * Send an offer, once, on a connection to [expectedIncarnation].
     *
     * If no such connection is left, answer with [AttemptEvent.NotSent].
     */
    public data class SendOffer(
        val target: TargetName,
        val attempt: AttemptId,
        val expectedIncarnation: Incarnation,
        val remaining: Duration,
    ) : AttemptAction

    /** Send [resolve] on the newest connection. */
    public data class SendResolve(
        val target: TargetName,
        val resolve: Resolve,
    ) : AttemptAction

    /** Send [cancel] if a connection is open. */
    public data class SendCancel(
        val target: TargetName,
        val cancel: Cancel,
    ) : AttemptAction

    /**
     * Open a new connection to [target], unless the current one was opened after [since].
     *
     * Answer with [AttemptEvent.ConnectionOpened] once such a connection is open.
     */
    public data class Reconnect(
        val target: TargetName,
        val since: Instant,
    ) : AttemptAction

    /** Send the status and headers of the answer to the caller. */
    public data class DeliverHead(
        val status: Int,
        val headers: List<Header>,
    ) : AttemptAction

    /** Send the next bytes of the body to the caller. */
    public data class DeliverBytes(
        val bytes: Payload,
    ) : AttemptAction

    /** The answer is complete: end the response. */
    public data object Complete : AttemptAction

    /** Refuse the request; no part of an answer was sent to the caller. */
    public data class Refuse(
        val runState: RunState,
        val reason: RefusalReason,
    ) : AttemptAction

    /** End a response that was partly sent to the caller with an error inside it. */
    public data class Abort(
        val reason: RefusalReason,
    ) : AttemptAction

    /** Raise [AttemptEvent.TimerFired] at [at]; replaces any earlier timer. */
    public data class SetTimer(
        val at: Instant,
    ) : AttemptAction
}
