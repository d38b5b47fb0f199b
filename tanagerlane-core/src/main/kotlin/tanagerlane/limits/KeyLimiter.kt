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
 * State of one key on one entry: the token bucket, this entry's own share and the loans from other entries.
 *
 * The bucket covers the own share unless it is lent, and the loans from other entries while this entry hosts the pool.
 * Each slot's share is thus covered by at most one bucket of the fleet. Not thread-safe; the shard serializes calls.
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
    private val ownShare = OwnShare(settings)
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

    /** Switches to [slots]; tokens for the time before [now] accrue only for slots that are retained. */
    fun changeSlots(
        slots: List<HeldSlot>,
        now: Instant,
    ) {
        ownShare.retain(slots)
        advance(now)
        ownShare.replace(slots)
        bucket.clamp(share(now))
    }

    fun changeView(newView: FleetView) {
        view = newView
        poolHost = rendezvousHost(key, newView.hosts)
    }

    /** Decides on a request that this entry received from a caller. */
    fun admit(
        token: TokenId,
        now: Instant,
        outbox: Outbox,
    ): TokenOutcome {
        advance(now)
        if (bucket.take(token, expiresAt(now))) {
            pool?.lastUsedAt = now
            return TokenOutcome.Granted
        }
        val host = poolHost ?: return exhausted(now)
        return if (host == settings.host) request(token, now, outbox) else TokenOutcome.OtherHost(host)
    }

    /** Decides, as the host of the pool, on a token request from any entry. */
    fun request(
        token: TokenId,
        now: Instant,
        outbox: Outbox,
    ): TokenOutcome {
        advance(now)
        if (poolHost != settings.host) {
            return exhausted(now)
        }
        val poolState = pool ?: open(now, outbox)
        poolState.lastUsedAt = now
        return when {
            bucket.take(token, expiresAt(now)) -> TokenOutcome.Granted
            poolState.isAwaitingLenders(view.holders, now) -> TokenOutcome.Queued.also { poolState.enqueue(token, now) }
            else -> exhausted(now)
        }
    }

    /**
     * Lends this entry's share to [host] or renews the loan; returns null if the share must not be lent to that host.
     *
     * A loan to an earlier incarnation of the host must expire first, because its tokens may have been spent.
     */
    fun lend(
        host: HostName,
        incarnation: Incarnation,
        now: Instant,
    ): Loan? {
        advance(now)
        val keepsOwnPool = ownShare.loan == null && pool != null
        if (poolHost != host || keepsOwnPool) {
            return null
        }
        return ownShare.lend(host, incarnation, bucket, now)?.toMessage(key)
    }

    /** Adds a loan that answers one of this host's loan calls to the pool. */
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
            bucket.adopt(loan.outstanding, expiresAt(now))
            bucket.deposit(loan.tokens)
        }
        bucket.clamp(share(now))
    }

    /** Records that [from] answered the loan call sent at [calledAt] and serves the queued requests. */
    fun recordAnswer(
        from: HostName,
        calledAt: Instant,
        now: Instant,
        outbox: Outbox,
    ) {
        val poolState = pool ?: return
        if (calledAt >= poolState.openedAt) {
            poolState.answeredHolders += from
        }
        serveQueue(poolState, now, outbox)
    }

    /** Returns a loan before its term ends if the outstanding tokens fit into the remaining capacity. */
    fun returnLoan(
        lender: HostName,
        now: Instant,
        outbox: Outbox,
    ) {
        advance(now)
        val remaining = rate.share(key, loans.slotsWithout(lender) + ownShare.counted(now), settings.slotCount)
        if (lender !in loans.lenders || bucket.outstanding.size > remaining.capacity) {
            return
        }
        val loan = checkNotNull(loans.remove(lender)) { "no loan of $lender" }
        callsAcceptedAfter = maxOf(now, pool?.lastCalledAt ?: now)
        val tokens = bucket.withdraw(bucket.level + bucket.outstanding.size - remaining.capacity)
        outbox.send(lender, LoanReturn(key, loan.id.lender, loan.id.generation, tokens))
    }

    /** Spends this entry's share locally again after the pool has returned it. */
    fun acceptReturn(
        from: HostName,
        message: LoanReturn,
        now: Instant,
    ) {
        advance(now)
        if (ownShare.endLoan(from, message)) {
            bucket.deposit(message.tokens)
            bucket.clamp(share(now))
        }
    }

    /** Stops counting [token] as outstanding and returns the borrower of the share, if any, which also counts it. */
    fun settle(
        token: TokenId,
        now: Instant,
    ): HostName? {
        advance(now)
        bucket.settle(token)
        return ownShare.loan?.borrower
    }

    fun tick(
        now: Instant,
        outbox: Outbox,
    ) {
        advance(now)
        ownShare.loan?.takeIf { it.borrower != poolHost }?.let { outbox.recall(key, it.borrower) }
        val poolState = pool ?: return
        serveQueue(poolState, now, outbox)
        if (poolHost == settings.host && !poolState.isIdle(now)) {
            callHolders(poolState, now, outbox)
        } else {
            close(now, outbox)
        }
    }

    private fun open(
        now: Instant,
        outbox: Outbox,
    ): PoolState {
        val poolState = PoolState(now, times)
        pool = poolState
        callHolders(poolState, now, outbox)
        return poolState
    }

    private fun callHolders(
        poolState: PoolState,
        now: Instant,
        outbox: Outbox,
    ) {
        if (poolState.isCallDue(now)) {
            poolState.lastCalledAt = now
            outbox.call(key, view.holders)
        }
    }

    private fun close(
        now: Instant,
        outbox: Outbox,
    ) {
        loans.lenders.forEach { returnLoan(it, now, outbox) }
        if (loans.lenders.isEmpty()) {
            callsAcceptedAfter = maxOf(now, callsAcceptedAfter, pool?.lastCalledAt ?: now)
            pool = null
        }
    }

    private fun serveQueue(
        poolState: PoolState,
        now: Instant,
        outbox: Outbox,
    ) {
        val isAwaitingLenders = poolState.isAwaitingLenders(view.holders, now)
        for (waiting in poolState.drain()) {
            when {
                bucket.take(waiting.token, expiresAt(now)) -> outbox.grant(key, waiting.token, waiting.requestedAt)
                isAwaitingLenders -> poolState.enqueue(waiting.token, waiting.requestedAt)
                else -> outbox.refuse(key, waiting.token, retryAfter(now))
            }
        }
    }

    /** Refills the bucket up to [now] and ends the loans whose term is over. */
    private fun advance(now: Instant) {
        loans.expire(now)
        ownShare.loan?.takeIf { it.endsAt <= now }?.let { loan ->
            bucket.refill(share(now), loan.endsAt)
            ownShare.expireLoan()
        }
        bucket.refill(share(now), now)
    }

    private fun share(now: Instant): Share = rate.share(key, loans.slots + ownShare.counted(now), settings.slotCount)

    private fun expiresAt(now: Instant): Instant = now + times.permitValidity + times.driftMargin

    private fun exhausted(now: Instant): TokenOutcome = TokenOutcome.Exhausted(retryAfter(now))

    private fun retryAfter(now: Instant): Duration {
        val perSecond = maxOf(share(now).perSecond, rate.perSecond / settings.slotCount)
        return if (perSecond > 0.0) ((1.0 - bucket.level) / perSecond).coerceAtLeast(0.0).seconds else DEFAULT_RETRY
    }

    private companion object {
        val DEFAULT_RETRY: Duration = 60.seconds
    }
}
