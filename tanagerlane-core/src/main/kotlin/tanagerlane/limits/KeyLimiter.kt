package tanagerlane.limits

import tanagerlane.limits.PoolLoans.LoanAcceptance
import tanagerlane.message.LimitKey
import tanagerlane.message.Loan
import tanagerlane.message.LoanReturn
import tanagerlane.message.Loans
import tanagerlane.message.TokenId
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * The state of one key on one entry: the bucket, this entry's own share and the loans of others.
 *
 * The bucket counts the own share unless it is lent, and the loans of others while this entry keeps the pool. Each
 * slot's share is thus counted in one bucket of the fleet at most. Calls are serialized by the shard.
 */
internal class KeyLimiter(
    private val key: LimitKey,
    private val settings: LimiterSettings,
    start: Instant,
) {
    private val times = settings.times
    private val bucket = TokenBucket(start)
    private val loans = PoolLoans(times.loanTerm)
    private var rate = Rate.NONE
    private val own = OwnShare(settings)
    private var pool: PoolState? = null
    private var callsAcceptedAfter = Instant.DISTANT_PAST
    private var view = FleetView(hosts = emptySet(), holders = emptySet())
    private var poolHost: HostName? = null

    fun configure(
        newRate: Rate,
        now: Instant,
    ) {
        advance(now)
        rate = newRate
        bucket.clamp(share(now))
    }

    /** Counts [slots] from now on; the time before counts only for those that stay. */
    fun changeSlots(
        slots: List<HeldSlot>,
        now: Instant,
    ) {
        own.keep(slots)
        advance(now)
        own.replace(slots)
        bucket.clamp(share(now))
    }

    fun changeView(newView: FleetView) {
        view = newView
        poolHost = rendezvousHost(key, newView.hosts)
    }

    /** Decides for a request of this entry's own. */
    fun admit(
        token: TokenId,
        now: Instant,
        outbox: Outbox,
    ): TokenOutcome {
        advance(now)
        if (bucket.take(token, voidAt(now))) {
            pool?.usedAt = now
            return TokenOutcome.Granted
        }
        val host = poolHost ?: return exhausted(now)
        return if (host == settings.host) request(token, now, outbox) else TokenOutcome.Elsewhere(host)
    }

    /** Decides for a request of any entry, as the host of the pool. */
    fun request(
        token: TokenId,
        now: Instant,
        outbox: Outbox,
    ): TokenOutcome {
        advance(now)
        if (poolHost != settings.host) {
            return exhausted(now)
        }
        val activity = pool ?: open(now, outbox)
        activity.usedAt = now
        return when {
            bucket.take(token, voidAt(now)) -> TokenOutcome.Granted
            activity.isFilling(view.holders, now) -> TokenOutcome.Waiting.also { activity.enqueue(token, now) }
            else -> exhausted(now)
        }
    }

    /**
     * Lends this entry's share to [host] or renews the loan; null where it is not to be lent to that host.
     *
     * A loan to an earlier incarnation of the host runs out first, as its tokens may have been spent.
     */
    fun lend(
        host: HostName,
        incarnation: Incarnation,
        now: Instant,
    ): Loan? {
        advance(now)
        val isOtherwiseUsed = own.loan == null && pool != null
        if (poolHost != host || isOtherwiseUsed) {
            return null
        }
        return own.lend(host, incarnation, bucket, now)?.toMessage(key)
    }

    /** Counts a loan that answers one of this host's calls. */
    fun accept(
        from: HostName,
        message: Loans,
        loan: Loan,
        now: Instant,
    ) {
        advance(now)
        if (pool == null || message.nonce.sentAt <= callsAcceptedAfter) {
            return
        }
        if (loans.accept(from, message, loan, now) == LoanAcceptance.FIRST) {
            bucket.adopt(loan.outstanding, voidAt(now))
            bucket.deposit(loan.tokens)
        }
        bucket.clamp(share(now))
    }

    /** Notes that [from] answered the call sent at [calledAt] and serves the requests that wait for it. */
    fun noteAnswer(
        from: HostName,
        calledAt: Instant,
        now: Instant,
        outbox: Outbox,
    ) {
        val activity = pool ?: return
        if (calledAt >= activity.openedAt) {
            activity.answered += from
        }
        serve(activity, now, outbox)
    }

    /** Gives a loan back before its term ends, if the tokens outstanding leave room for that. */
    fun giveBack(
        lender: HostName,
        now: Instant,
        outbox: Outbox,
    ) {
        advance(now)
        val rest = rate.share(key, loans.slotsWithout(lender) + own.counted(now), settings.slotCount)
        if (lender !in loans.lenders || bucket.outstanding.size > rest.capacity) {
            return
        }
        val loan = checkNotNull(loans.remove(lender)) { "no loan of $lender" }
        callsAcceptedAfter = maxOf(now, pool?.calledAt ?: now)
        val tokens = bucket.withdraw(bucket.level + bucket.outstanding.size - rest.capacity)
        outbox.send(lender, LoanReturn(key, loan.id.lender, loan.id.generation, tokens))
    }

    /** Counts the share here again that its pool gave back. */
    fun takeBack(
        from: HostName,
        message: LoanReturn,
        now: Instant,
    ) {
        advance(now)
        if (own.takeBack(from, message)) {
            bucket.deposit(message.tokens)
            bucket.clamp(share(now))
        }
    }

    /** Ends the time for which [token] is outstanding and returns the host that counts it besides, if any. */
    fun settle(
        token: TokenId,
        now: Instant,
    ): HostName? {
        advance(now)
        bucket.settle(token)
        return own.loan?.to
    }

    fun tick(
        now: Instant,
        outbox: Outbox,
    ) {
        advance(now)
        own.loan?.takeIf { it.to != poolHost }?.let { outbox.recall(key, it.to) }
        val activity = pool ?: return
        serve(activity, now, outbox)
        if (poolHost == settings.host && !activity.isIdle(now)) {
            callHolders(activity, now, outbox)
        } else {
            close(now, outbox)
        }
    }

    private fun open(
        now: Instant,
        outbox: Outbox,
    ): PoolState {
        val activity = PoolState(now, times)
        pool = activity
        callHolders(activity, now, outbox)
        return activity
    }

    private fun callHolders(
        activity: PoolState,
        now: Instant,
        outbox: Outbox,
    ) {
        if (activity.isCallDue(now)) {
            activity.calledAt = now
            outbox.call(key, view.holders)
        }
    }

    private fun close(
        now: Instant,
        outbox: Outbox,
    ) {
        loans.lenders.forEach { giveBack(it, now, outbox) }
        if (loans.lenders.isEmpty()) {
            callsAcceptedAfter = maxOf(now, callsAcceptedAfter, pool?.calledAt ?: now)
            pool = null
        }
    }

    private fun serve(
        activity: PoolState,
        now: Instant,
        outbox: Outbox,
    ) {
        val isFilling = activity.isFilling(view.holders, now)
        for (waiting in activity.drain()) {
            when {
                bucket.take(waiting.token, voidAt(now)) -> outbox.grant(key, waiting.token, waiting.since)
                isFilling -> activity.enqueue(waiting.token, waiting.since)
                else -> outbox.refuse(key, waiting.token, retryAfter(now))
            }
        }
    }

    /** Brings the bucket up to [now] and ends the loans whose time is over. */
    private fun advance(now: Instant) {
        loans.expire(now)
        own.loan?.takeIf { it.endsAt <= now }?.let { loan ->
            bucket.refill(share(now), loan.endsAt)
            own.reclaim()
        }
        bucket.refill(share(now), now)
    }

    private fun share(now: Instant): Share = rate.share(key, loans.slots + own.counted(now), settings.slotCount)

    private fun voidAt(now: Instant): Instant = now + times.permitValidity + times.margin

    private fun exhausted(now: Instant): TokenOutcome = TokenOutcome.Exhausted(retryAfter(now))

    private fun retryAfter(now: Instant): Duration {
        val perSecond = maxOf(share(now).perSecond, rate.perSecond / settings.slotCount)
        return if (perSecond > 0.0) ((1.0 - bucket.level) / perSecond).coerceAtLeast(0.0).seconds else UNKNOWN_RETRY
    }

    private companion object {
        val UNKNOWN_RETRY: Duration = 60.seconds
    }
}
