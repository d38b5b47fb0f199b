package tanagerlane.limits

import tanagerlane.message.Loan
import tanagerlane.message.Loans
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import kotlin.time.Duration
import kotlin.time.Instant

/** The loans that the pool of one key counts at present. */
internal class PoolLoans(
    private val loanTerm: Duration,
) {
    private val held = LinkedHashMap<HostName, HeldLoan>()
    private val deposited = HashMap<HostName, LoanId>()

    val lenders: Set<HostName>
        get() = held.keys.toSet()

    val slots: Set<Int>
        get() = held.values.flatMapTo(LinkedHashSet()) { it.slots }

    /** Drops the loans whose term is over at [now]. */
    fun expire(now: Instant) {
        held.values.removeIf { it.endsAt <= now }
    }

    /** Counts a loan, or renews it; null where it came too late or was overtaken. */
    fun accept(
        from: HostName,
        message: Loans,
        loan: Loan,
        now: Instant,
    ): LoanAcceptance? {
        val old = held[from]
        val endsAt = message.nonce.sentAt + loanTerm
        if (endsAt <= now || (old != null && old.isAfter(message, loan))) {
            return null
        }
        val id = LoanId(message.lender, loan.generation)
        held[from] = HeldLoan(id, message.slots.toSet(), message.nonce.sentAt, endsAt)
        return if (deposited.put(from, id) == id) LoanAcceptance.RENEWED else LoanAcceptance.FIRST
    }

    /** Stops counting the loan of [lender]. */
    fun remove(lender: HostName): HeldLoan? = held.remove(lender)

    /** Slots that are left without [lender]. */
    fun slotsWithout(lender: HostName): Set<Int> =
        held.filterKeys { it != lender }.values.flatMapTo(LinkedHashSet()) { it.slots }

    internal enum class LoanAcceptance {
        /** Its tokens must be deposited; a loan whose term ran out before it was renewed is not counted as new. */
        FIRST,

        /** Its tokens were deposited before. */
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
        /** Whether this loan overtook [loan] on the way. */
        fun isAfter(
            message: Loans,
            loan: Loan,
        ): Boolean {
            val other = HeldLoan(LoanId(message.lender, loan.generation), slots, message.nonce.sentAt, endsAt)
            return compareValuesBy(this, other, { it.id.lender.number }, { it.id.generation }, { it.calledAt }) >= 0
        }
    }
}
