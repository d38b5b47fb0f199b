package tanagerlane.limits

import tanagerlane.model.HostName
import kotlin.time.Duration

/** What one host can say at once to a request for a token. */
internal sealed interface Verdict {
    /** The token was debited here. */
    data object Granted : Verdict

    /** This host keeps the pool and waits for its lenders. */
    data object Waiting : Verdict

    /** Another host keeps the pool. */
    data class Elsewhere(
        val host: HostName,
    ) : Verdict

    /** There is no token. */
    data class Exhausted(
        val retryAfter: Duration,
    ) : Verdict
}
