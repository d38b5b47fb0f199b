package tanagerlane.limits

import kotlin.time.Duration

/** Answer to a request for admission. */
public sealed interface Admission {
    /** The request may run; [FleetLimiter.settle] must follow once it has arrived or was given up. */
    public data class Admitted(
        val permit: Permit,
    ) : Admission

    /** The key is over its rate; a token is expected after [retryAfter]. */
    public data class Refused(
        val retryAfter: Duration,
    ) : Admission

    /** A [Decision] with this [number] follows once [outgoing] was sent and answered, or its time is over. */
    public data class Pending(
        val number: Long,
        val outgoing: List<OutgoingMessage>,
    ) : Admission
}
