package tanagerlane.limits

import tanagerlane.message.Nonce
import tanagerlane.model.Incarnation
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Lets a sidecar reject requests whose permit may have expired, without comparing clocks of different hosts.
 *
 * The sidecar periodically sends a nonce to each entry. Before it asks for admission, an entry records the last nonce
 * that it received, and it sends that nonce with the request. The permit is therefore no older than the nonce, whose
 * age the sidecar knows. This also holds if the entry was paused between its last check and the send, and if the
 * request was delayed on the network.
 */
public class ArrivalGuard(
    private val incarnation: Incarnation,
    private val permitValidity: Duration,
) {
    /** Returns the nonce to send at [now]. */
    public fun nonce(now: Instant): Nonce = Nonce(incarnation, now)

    /** Whether a request that carries [nonce] has certainly arrived while its permit is valid. */
    public fun isTimely(
        nonce: Nonce,
        now: Instant,
    ): Boolean = nonce.incarnation == incarnation && now - nonce.sentAt < permitValidity
}
