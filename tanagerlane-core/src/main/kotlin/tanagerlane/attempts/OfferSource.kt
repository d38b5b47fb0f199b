package tanagerlane.attempts

import tanagerlane.model.HostName
import kotlin.time.Instant

/**
 * The connection that carried an offer or a [Resolve][tanagerlane.message.Resolve].
 *
 * @property host the peer that sent it
 * @property session the connection
 * @property answeredProbeSentAt when this host sent the newest hello or ping that the peer has answered on the
 * connection. A peer sends no offer before it has received the hello, so every offer was sent after this time.
 */
public data class OfferSource(
    val host: HostName,
    val session: SessionId,
    val answeredProbeSentAt: Instant,
)
