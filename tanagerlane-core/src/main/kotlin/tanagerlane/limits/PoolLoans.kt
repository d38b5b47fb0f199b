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
        held[from] = HeldLoan(message.lender, loan.generation, message.slots.toSet(), message.nonce.sentAt, endsAt)
        return if (old?.isSameLoan(message, loan) == true) LoanAcceptance.RENEWED else LoanAcceptance.FIRST
    }

    /** Stops counting the loan of [lender]. */
    fun remove(lender: HostName): HeldLoan? = held.remove(lender)

    /** Slots that are left without [lender]. */
    fun slotsWithout(lender: HostName): Set<Int> =
        held.filterKeys { it != lender }.values.flatMapTo(LinkedHashSet()) { it.slots }

    internal enum class LoanAcceptance {
        /** Its tokens must be deposited. */
        FIRST,

        /** Its tokens were deposited before. */
        RENEWED,
    }

    internal data class HeldLoan(
        val lender: Incarnation,
        val generation: Long,
        val slots: Set<Int>,
        val calledAt: Instant,
        val endsAt: Instant,
    ) {
        fun isSameLoan(
            message: Loans,
            loan: Loan,
        ): Boolean = lender == message.lender && generation == loan.generation

        fun isAfter(
            message: Loans,
            loan: Loan,
        ): Boolean =
            compareValuesBy(
                this,
                HeldLoan(message.lender, loan.generation, slots, message.nonce.sentAt, endsAt),
                { it.lender.number },
                { it.generation },
                { it.calledAt },
            ) >= 0
    }
}
