package tanagerlane.limits

import tanagerlane.message.LoanReturn
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import kotlin.time.Instant

/** This entry's own share of one key: the slots that make it up, and the loan while the share is lent. */
internal class OwnShare(
    private val settings: LimiterSettings,
) {
    private val times = settings.times
    private var slots = emptyList<HeldSlot>()
    private var generation = 0L

    var loan: OutgoingLoan? = null
        private set

    /** Retains only the slots that are among [newSlots] under the same claim. */
    fun retain(newSlots: List<HeldSlot>) {
        slots = newSlots.filter { newSlot -> slots.any { it.isSameClaim(newSlot) } }
    }

    fun replace(newSlots: List<HeldSlot>) {
        slots = newSlots
    }

    /** Slots whose share this entry's bucket covers; all requests admitted from them arrive before their leases end. */
    fun counted(now: Instant): Set<Int> =
        if (loan != null) {
            emptySet()
        } else {
            slots.filter { now + times.permitValidity + times.driftMargin < it.validUntil }.map { it.number }.toSet()
        }

    /** Lends the share and the tokens in [bucket] to [host], or renews the loan; null while another loan runs. */
    fun lend(
        host: HostName,
        incarnation: Incarnation,
        bucket: TokenBucket,
        now: Instant,
    ): OutgoingLoan? {
        val current = loan ?: beginLoan(host, incarnation, bucket, now)
        if (current.borrower != host || current.incarnation != incarnation) {
            return null
        }
        val renewed = current.copy(endsAt = now + times.reclaimAfter)
        loan = renewed
        return renewed
    }

    /** Ends the loan if [message] from [from] returns it; returns whether it did. */
    fun endLoan(
        from: HostName,
        message: LoanReturn,
    ): Boolean {
        val current = loan ?: return false
        val isSameLoan = current.borrower == from && current.generation == message.generation
        if (!isSameLoan || message.lender != settings.incarnation) {
            return false
        }
        loan = null
        return true
    }

    /** Ends the loan once its term is over. */
    fun expireLoan() {
        loan = null
    }

    private fun beginLoan(
        host: HostName,
        incarnation: Incarnation,
        bucket: TokenBucket,
        now: Instant,
    ): OutgoingLoan {
        generation += 1
        return OutgoingLoan(
            borrower = host,
            incarnation = incarnation,
            generation = generation,
            tokens = bucket.withdraw(bucket.level),
            outstanding = bucket.outstanding.toList(),
            endsAt = now + times.reclaimAfter,
        )
    }
}
