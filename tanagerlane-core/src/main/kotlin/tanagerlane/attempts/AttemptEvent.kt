package tanagerlane.attempts

import tanagerlane.message.WireMessage
import tanagerlane.model.AttemptId
import tanagerlane.model.Incarnation
import tanagerlane.model.RefusalReason
import tanagerlane.model.TargetName

/** An event that concerns a request tracked by an entry. */
public sealed interface AttemptEvent {
    /** A target was picked whose sidecar is connected; answers [AttemptAction.PickTarget]. */
    public data class TargetPicked(
        val target: TargetName,
        val incarnation: Incarnation,
    ) : AttemptEvent

    /** No target is available; answers [AttemptAction.PickTarget]. */
    public data class NoTarget(
        val reason: RefusalReason,
    ) : AttemptEvent

    /** The offer was certainly never sent. */
    public data class NotSent(
        val attempt: AttemptId,
    ) : AttemptEvent

    /** A sidecar sent [message]. */
    public data class Received(
        val message: WireMessage,
    ) : AttemptEvent

    /** The connection to [target] was closed or timed out. */
    public data class ConnectionLost(
        val target: TargetName,
    ) : AttemptEvent

    /** A new connection to [target] is open and the hello of its sidecar was received. */
    public data class ConnectionOpened(
        val target: TargetName,
        val incarnation: Incarnation,
    ) : AttemptEvent

    /** The timer of [AttemptAction.SetTimer] expired; early and redundant events are harmless. */
    public data object TimerFired : AttemptEvent

    /** The caller has disconnected. */
    public data object CallerDisconnected : AttemptEvent
}
