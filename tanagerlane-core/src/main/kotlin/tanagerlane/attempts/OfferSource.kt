package tanagerlane.attempts

import tanagerlane.model.HostName
import kotlin.time.Instant

/**
 * The connection by which an offer or a question came.
 *
 * @property host the peer
 * @property answeredProbeSentAt when this host sent the newest hello or ping that the peer had answered on the connection. A peer
 * offers nothing before it has received the hello, so every offer was sent after this time.
 */
public data class OfferSource(
    val host: HostName,
    val session: SessionId,
    val answeredProbeSentAt: Instant,
)
