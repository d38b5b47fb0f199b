package tanagerlane.limits

import tanagerlane.message.LoanReturn
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import kotlin.time.Instant

/** This entry's own share of one key: the slots that carry it, and the loan while it is lent. */
internal class OwnShare(
    private val settings: LimiterSettings,
) {
    private val times = settings.times
    private var slots = emptyList<HeldSlot>()
    private var generation = 0L

    var loan: OutgoingLoan? = null
        private set

    /** Drops the slots that are not among [others] under the same claim. */
    fun keep(others: List<HeldSlot>) {
        slots = others.filter { other -> slots.any { it.isSameClaim(other) } }
    }

    fun replace(others: List<HeldSlot>) {
        slots = others
    }

    /** Slots that this entry's bucket counts itself; all they admit arrives before their leases end. */
    fun counted(now: Instant): Set<Int> =
        if (loan != null) {
            emptySet()
        } else {
            slots.filter { now + times.permitValidity + times.margin < it.validUntil }.map { it.number }.toSet()
        }

    /** Lends the share and the tokens in [bucket] to [host], or renews the loan; null while it is lent otherwise. */
    fun lend(
        host: HostName,
        incarnation: Incarnation,
        bucket: TokenBucket,
        now: Instant,
    ): OutgoingLoan? {
        val current = loan ?: begin(host, incarnation, bucket, now)
        if (current.to != host || current.incarnation != incarnation) {
            return null
        }
        val renewed = current.copy(endsAt = now + times.reclaimAfter)
        loan = renewed
        return renewed
    }

    /** Ends the loan if [message] of [from] gives it back. */
    fun takeBack(
        from: HostName,
        message: LoanReturn,
    ): Boolean {
        val current = loan ?: return false
        val isMeant = current.to == from && current.generation == message.generation
        if (!isMeant || message.lender != settings.incarnation) {
            return false
        }
        loan = null
        return true
    }

    /** Ends the loan after its time. */
    fun reclaim() {
        loan = null
    }

    private fun begin(
        host: HostName,
        incarnation: Incarnation,
        bucket: TokenBucket,
        now: Instant,
    ): OutgoingLoan {
        generation += 1
        return OutgoingLoan(
            to = host,
            incarnation = incarnation,
            generation = generation,
            tokens = bucket.withdraw(bucket.level),
            outstanding = bucket.outstanding.toList(),
            endsAt = now + times.reclaimAfter,
        )
    }
}
