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

/** What an entry has to do for a request. */
public sealed interface AttemptAction {
    /** Pick a target that is not in [tried] where there is one; answer with a picked target or none. */
    public data class PickTarget(
        val tried: Set<TargetName>,
        val attemptNumber: Int,
    ) : AttemptAction

    /**
     * Send an offer, once, on a connection to that incarnation.
     *
     * Where there is none any more, answer with [AttemptEvent.NotSent].
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
     * Open a new connection to [target], unless the present one was opened after [since].
     *
     * Answer with [AttemptEvent.ConnectionOpened] once such a connection is there.
     */
    public data class Reconnect(
        val target: TargetName,
        val since: Instant,
    ) : AttemptAction

    /** Pass the head of the answer to the caller. */
    public data class DeliverHead(
        val status: Int,
        val headers: List<Header>,
    ) : AttemptAction

    /** Pass the next bytes of the body to the caller. */
    public data class DeliverBytes(
        val bytes: Payload,
    ) : AttemptAction

    /** The answer is whole: end it. */
    public data object Complete : AttemptAction

    /** Refuse the request; nothing of an answer was passed on. */
    public data class Refuse(
        val runState: RunState,
        val reason: RefusalReason,
    ) : AttemptAction

    /** End the answer, part of which was passed on, with an error inside it. */
    public data class Abort(
        val reason: RefusalReason,
    ) : AttemptAction

    /** Send [AttemptEvent.TimerFired] at [at]; replaces an earlier timer. */
    public data class SetTimer(
        val at: Instant,
    ) : AttemptAction
}
