package tanagerlane.limits

import tanagerlane.message.LimitKey
import tanagerlane.message.Loan
import tanagerlane.message.TokenId
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import kotlin.time.Instant

/**
 * This entry's share of one key while it is lent.
 *
 * @property incarnation incarnation of the pool's host
 * @property endsAt time from which the share may be counted here again, by which the pool has long stopped
 */
internal data class OutgoingLoan(
    val to: HostName,
    val incarnation: Incarnation,
    val generation: Long,
    val tokens: Double,
    val outstanding: List<TokenId>,
    val endsAt: Instant,
) {
    fun toMessage(key: LimitKey): Loan = Loan(key, generation, tokens, outstanding)
}
