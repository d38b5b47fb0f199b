package tanagerlane.limits

import tanagerlane.message.Loan
import tanagerlane.message.Loans
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import kotlin.time.Duration
import kotlin.time.Instant

/** Loans that the pool of one key uses at present. */
internal class PoolLoans(
    private val loanTerm: Duration,
) {
    private val heldLoans = LinkedHashMap<HostName, HeldLoan>()
    private val deposited = HashMap<HostName, LoanId>()

    val lenders: Set<HostName>
        get() = heldLoans.keys.toSet()

    val slots: Set<Int>
        get() = heldLoans.values.flatMapTo(LinkedHashSet()) { it.slots }

    /** Removes the loans whose term is over at [now]. */
    fun expire(now: Instant) {
        heldLoans.values.removeIf { it.endsAt <= now }
    }

    /** Adds or renews a loan; returns null if the message arrived after the term, or after a newer message. */
    fun accept(
        from: HostName,
        message: Loans,
        loan: Loan,
        now: Instant,
    ): LoanAcceptance? {
        val old = heldLoans[from]
        val endsAt = message.nonce.sentAt + loanTerm
        if (endsAt <= now || (old != null && old.supersedes(message, loan))) {
            return null
        }
        val id = LoanId(message.lender, loan.generation)
        heldLoans[from] = HeldLoan(id, message.slots.toSet(), message.nonce.sentAt, endsAt)
        return if (deposited.put(from, id) == id) LoanAcceptance.RENEWED else LoanAcceptance.FIRST
    }

    /** Removes the loan of [lender] and returns it. */
    fun remove(lender: HostName): HeldLoan? = heldLoans.remove(lender)

    /** Slots of all loans other than that of [lender]. */
    fun slotsWithout(lender: HostName): Set<Int> =
        heldLoans.filterKeys { it != lender }.values.flatMapTo(LinkedHashSet()) { it.slots }

    internal enum class LoanAcceptance {
        /** The loan is new and its tokens must be deposited. A loan that expired before it was renewed is not new. */
        FIRST,

        /** The tokens of the loan were deposited before. */
        RENEWED,
    }

    internal data class LoanId(
        val lender: Incarnation,
        val generation: Long,
    )

    internal data class HeldLoan(
        val id: LoanId,
        val slots: Set<Int>,
        val calledAt: Instant,
        val endsAt: Instant,
    ) {
        /** Whether this loan is at least as new as [loan] of [message], which then arrived out of order or twice. */
        fun supersedes(
            message: Loans,
            loan: Loan,
        ): Boolean {
            val other = HeldLoan(LoanId(message.lender, loan.generation), slots, message.nonce.sentAt, endsAt)
            return compareValuesBy(this, other, { it.id.lender.number }, { it.id.generation }, { it.calledAt }) >= 0
        }
    }
}
