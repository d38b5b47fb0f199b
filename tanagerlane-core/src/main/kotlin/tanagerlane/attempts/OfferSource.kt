package tanagerlane.attempts

import kotlin.time.Instant

/**
 * The connection by which an offer came.
 *
 * @property freshAt when this host sent the newest hello or ping that the peer had answered on the connection. A peer
 * offers nothing before it has received the hello, so every offer was sent after this time.
 */
public data class OfferSource(
    val session: SessionId,
    val freshAt: Instant,
)
