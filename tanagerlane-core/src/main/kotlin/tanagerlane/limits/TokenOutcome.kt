package tanagerlane.limits

import tanagerlane.model.HostName
import kotlin.time.Duration

/** Immediate result of a request for a token on one host. */
internal sealed interface TokenOutcome {
    /** The token was debited here. */
    data object Granted : TokenOutcome

    /** This host keeps the pool and queued the request until its lenders answer. */
    data object Queued : TokenOutcome

    /** Another host keeps the pool. */
    data class OtherHost(
        val host: HostName,
    ) : TokenOutcome

    /** There is no token. */
    data class Exhausted(
        val retryAfter: Duration,
    ) : TokenOutcome
}
