package tanagerlane.limits

import tanagerlane.message.LimitKey
import tanagerlane.message.Loan
import tanagerlane.message.TokenId
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import kotlin.time.Instant

/**
 * Loan of this entry's share of one key to a pool.
 *
 * @property borrower host of the pool
 * @property incarnation incarnation of the borrower
 * @property endsAt time from which this entry may spend the share again, by which the pool has long stopped
 */
internal data class OutgoingLoan(
    val borrower: HostName,
    val incarnation: Incarnation,
    val generation: Long,
    val tokens: Double,
    val outstanding: List<TokenId>,
    val endsAt: Instant,
) {
    fun toMessage(key: LimitKey): Loan = Loan(key, generation, tokens, outstanding)
}
