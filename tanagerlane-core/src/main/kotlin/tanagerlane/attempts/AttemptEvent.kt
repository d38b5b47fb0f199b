package tanagerlane.attempts

import tanagerlane.message.WireMessage
import tanagerlane.model.AttemptId
import tanagerlane.model.Incarnation
import tanagerlane.model.RefusalReason
import tanagerlane.model.TargetName

/** What happens to a request while an entry follows it. */
public sealed interface AttemptEvent {
    /** A target was picked whose sidecar is connected; answers [AttemptAction.PickTarget]. */
    public data class TargetPicked(
        val target: TargetName,
        val incarnation: Incarnation,
    ) : AttemptEvent

    /** No target may be tried; answers [AttemptAction.PickTarget]. */
    public data class NoTarget(
        val reason: RefusalReason,
    ) : AttemptEvent

    /** The offer certainly never left this host. */
    public data class NotSent(
        val attempt: AttemptId,
    ) : AttemptEvent

    /** A sidecar sent [message]. */
    public data class Received(
        val message: WireMessage,
    ) : AttemptEvent

    /** The connection to [target] closed or fell silent. */
    public data class ConnectionLost(
        val target: TargetName,
    ) : AttemptEvent

    /** A new connection to [target] is open and its sidecar has said hello. */
    public data class ConnectionOpened(
        val target: TargetName,
        val incarnation: Incarnation,
    ) : AttemptEvent

    /** The time of [AttemptAction.SetTimer] has come; an early or superfluous one does no harm. */
    public data object TimerFired : AttemptEvent

    /** The caller has gone. */
    public data object CallerDisconnected : AttemptEvent
}
