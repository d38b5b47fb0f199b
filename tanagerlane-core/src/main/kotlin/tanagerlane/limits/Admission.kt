package tanagerlane.limits

import kotlin.time.Duration

/** Result of [FleetLimiter.admit]. */
public sealed interface Admission {
    /** The request may run; call [FleetLimiter.settle] once it has arrived at a sidecar or was abandoned. */
    public data class Admitted(
        val permit: Permit,
    ) : Admission

    /** The key exceeds its rate; a token is expected to be available after [retryAfter]. */
    public data class Refused(
        val retryAfter: Duration,
    ) : Admission

    /** The pool decides; a [Decision] with this [number] follows once [outgoing] was answered or has timed out. */
    public data class Pending(
        val number: Long,
        val outgoing: List<OutgoingMessage>,
    ) : Admission
}
