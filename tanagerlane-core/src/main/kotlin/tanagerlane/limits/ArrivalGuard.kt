package tanagerlane.limits

import tanagerlane.message.Nonce
import tanagerlane.model.Incarnation
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Turns requests away at a sidecar that come after their permit may have ended, without comparing clocks.
 *
 * The sidecar sends a nonce to each entry at intervals. An entry notes the last nonce it has before it asks for
 * admission and sends it with the request. So the request is no older than the nonce, whose age the sidecar knows.
 * This holds when the entry was paused between its last check and the send, and for requests delayed on the way.
 */
public class ArrivalGuard(
    private val incarnation: Incarnation,
    private val permitValidity: Duration,
) {
    /** Returns the nonce to send at [now]. */
    public fun nonce(now: Instant): Nonce = Nonce(incarnation, now)

    /** Whether a request that carries [nonce] certainly comes within its permit's validity. */
    public fun isTimely(
        nonce: Nonce,
        now: Instant,
    ): Boolean = nonce.incarnation == incarnation && now - nonce.sentAt < permitValidity
}
