package tanagerlane.limits

import tanagerlane.model.HostName
import kotlin.time.Duration

/** What one host can say at once to a request for a token. */
internal sealed interface TokenOutcome {
    /** The token was debited here. */
    data object Granted : TokenOutcome

    /** This host keeps the pool and waits for its lenders. */
    data object Waiting : TokenOutcome

    /** Another host keeps the pool. */
    data class Elsewhere(
        val host: HostName,
    ) : TokenOutcome

    /** There is no token. */
    data class Exhausted(
        val retryAfter: Duration,
    ) : TokenOutcome
}
