package tanagerlane.limits

import tanagerlane.message.LimitKey
import tanagerlane.message.LoanCall
import tanagerlane.message.LoanRecall
import tanagerlane.message.LoanReturn
import tanagerlane.message.Loans
import tanagerlane.message.Nonce
import tanagerlane.message.SettledToken
import tanagerlane.message.TokenGrant
import tanagerlane.message.TokenId
import tanagerlane.message.TokenRefusal
import tanagerlane.message.TokenRequest
import tanagerlane.message.TokensSettled
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Enforces rates and bursts across all entries.
 *
 * Each rate is divided into slots. The entry that holds a slot spends the slot's share of the rate, or lends it for a
 * term to the pool of the key, which is hosted by one entry. Over any window, all entries together admit at most the
 * burst plus the rate times the length of the window, where rate and burst are the highest that any entry has
 * configured during the window.
 *
 * Requests are counted when they arrive at a target's sidecar. The sidecar must therefore reject requests that arrive
 * after their permit has expired; see [ArrivalGuard]. This class is thread-safe.
 */
public class FleetLimiter(
    private val settings: LimiterSettings,
) {
    private val shards = List(SHARDS) { LimiterShard(settings) }
    private val tokenNumbers = AtomicLong()
    private val pendingRequests = ConcurrentHashMap<TokenId, PendingRequest>()
    private val settlements = ConcurrentLinkedQueue<Settlement>()

    @Volatile
    private var slots = emptyList<HeldSlot>()

    /** Replaces all rates. Requests for keys that are not listed are refused from now on. */
    public fun configure(
        limits: List<Limit>,
        now: Instant,
    ) {
        val byShard = limits.groupBy { shardOf(it.key) }
        shards.forEach { shard ->
            shard.configure(byShard[shard].orEmpty().associate { it.key to it.rate }, now)
        }
    }

    /** Replaces the slots whose shares this entry may spend; see [SlotLeases.held]. */
    public fun changeSlots(
        held: List<HeldSlot>,
        now: Instant,
    ) {
        slots = held
        shards.forEach { it.changeSlots(held, now) }
    }

    /**
     * Replaces this entry's view of the fleet.
     *
     * @param hosts entries that may host pools; includes this entry unless it is stopping
     * @param holders entries that hold slots
     */
    public fun changePeers(
        hosts: Set<HostName>,
        holders: Set<HostName>,
    ) {
        val view = FleetView(hosts, holders - settings.host)
        shards.forEach { it.changeView(view) }
    }

    /** Decides whether one request may run, or asks the host of the pool. */
    public fun admit(
        key: LimitKey,
        now: Instant,
    ): Admission {
        val token = TokenId(settings.host, settings.incarnation, tokenNumbers.incrementAndGet())
        val outbox = outbox(now)
        return when (val outcome = shardOf(key).withKey(key) { admit(token, now, outbox) }) {
            null -> Admission.Refused(settings.times.loanTerm)
            is TokenOutcome.Exhausted -> Admission.Refused(outcome.retryAfter)
            TokenOutcome.Granted -> Admission.Admitted(permit(key, token, settings.host, now))
            TokenOutcome.Queued -> Admission.Pending(token.number, outbox.outgoing())
            is TokenOutcome.OtherHost -> askPool(outcome.host, key, token, now)
        }
    }

    /** Must be called for each [Admission.Admitted] once the request has arrived at a sidecar or was abandoned. */
    public fun settle(
        permit: Permit,
        now: Instant,
    ) {
        val settled = SettledToken(permit.key, permit.token)
        if (permit.grantedBy == settings.host) {
            settleLocally(settled, now)
        } else {
            settlements += Settlement(permit.grantedBy, settled)
        }
    }

    /** Handles a message from the entry [from]; messages of types that do not concern limits are ignored. */
    public fun receive(
        from: HostName,
        message: WireMessage,
        now: Instant,
    ): LimiterOutput {
        val outbox = outbox(now)
        when (message) {
            is LoanCall -> answerLoanCall(from, message, now, outbox)
            is Loans -> acceptLoans(from, message, now, outbox)
            is LoanRecall -> message.keys.forEach { key -> shardOf(key).withKey(key) { returnLoan(from, now, outbox) } }
            is LoanReturn -> shardOf(message.key).withKey(message.key) { acceptReturn(from, message, now) }
            is TokenRequest -> answerTokenRequest(message, now, outbox)
            is TokenGrant -> complete(message.token) { admitGranted(it, message.token, from, now) }?.let(outbox::decide)
            is TokenRefusal -> complete(message.token) { Admission.Refused(message.retryAfter) }?.let(outbox::decide)
            is TokensSettled -> message.tokens.forEach { settleLocally(it, now) }
            else -> Unit
        }
        return outbox.reaction()
    }

    /** Renews loans, reports settled tokens and refuses requests whose pool has not answered in time. */
    public fun tick(now: Instant): LimiterOutput {
        val outbox = outbox(now)
        shards.forEach { shard -> shard.forEachKey { tick(now, outbox) } }
        generateSequence { settlements.poll() }.forEach { outbox.settle(it.host, it.token) }
        val timedOut = pendingRequests.values.filter { now - it.askedAt >= settings.times.poolRequestTimeout }
        timedOut
            .mapNotNull { pending -> complete(pending.token) { Admission.Refused(settings.times.renewalInterval) } }
            .forEach(outbox::decide)
        return outbox.reaction()
    }

    private fun askPool(
        host: HostName,
        key: LimitKey,
        token: TokenId,
        now: Instant,
    ): Admission {
        pendingRequests[token] = PendingRequest(key, token, now)
        return Admission.Pending(token.number, listOf(OutgoingMessage(host, TokenRequest(key, token))))
    }

    private fun answerTokenRequest(
        request: TokenRequest,
        now: Instant,
        outbox: Outbox,
    ) {
        val outcome = shardOf(request.key).withKey(request.key) { request(request.token, now, outbox) }
        when (outcome) {
            TokenOutcome.Granted -> outbox.grant(request.key, request.token, now)
            TokenOutcome.Queued -> Unit
            is TokenOutcome.Exhausted -> outbox.refuse(request.key, request.token, outcome.retryAfter)
            is TokenOutcome.OtherHost, null -> outbox.refuse(request.key, request.token, settings.times.renewalInterval)
        }
    }

    private fun complete(
        token: TokenId,
        admission: (PendingRequest) -> Admission,
    ): Decision? = pendingRequests.remove(token)?.let { Decision(token.number, admission(it)) }

    private fun admitGranted(
        pending: PendingRequest,
        token: TokenId,
        from: HostName,
        now: Instant,
    ): Admission {
        val permit = permit(pending.key, token, from, pending.askedAt)
        return if (now < permit.validUntil) Admission.Admitted(permit) else Admission.Refused(Duration.ZERO)
    }

    private fun permit(
        key: LimitKey,
        token: TokenId,
        grantedBy: HostName,
        from: Instant,
    ): Permit = Permit(key, token, grantedBy, from + settings.times.permitValidity)

    private fun answerLoanCall(
        from: HostName,
        call: LoanCall,
        now: Instant,
        outbox: Outbox,
    ) {
        val lendable = slots.filter { now + settings.times.reclaimAfter < it.validUntil }.map { it.number }
        val keys = if (lendable.isEmpty()) emptyList() else call.keys
        val loans = keys.mapNotNull { key -> shardOf(key).withKey(key) { lend(from, call.nonce.incarnation, now) } }
        outbox.send(from, Loans(call.nonce, settings.incarnation, lendable, loans))
    }

    private fun acceptLoans(
        from: HostName,
        message: Loans,
        now: Instant,
        outbox: Outbox,
    ) {
        if (message.nonce.incarnation != settings.incarnation) {
            return
        }
        message.loans.forEach { loan -> shardOf(loan.key).withKey(loan.key) { accept(from, message, loan, now) } }
        shards.forEach { shard -> shard.forEachKey { recordAnswer(from, message.nonce.sentAt, now, outbox) } }
    }

    private fun settleLocally(
        settled: SettledToken,
        now: Instant,
    ) {
        val alsoCountedBy = shardOf(settled.key).withKey(settled.key) { settle(settled.token, now) }
        alsoCountedBy?.let { settlements += Settlement(it, settled) }
    }

    private fun outbox(now: Instant): Outbox = Outbox(settings, Nonce(settings.incarnation, now))

    private fun shardOf(key: LimitKey): LimiterShard = shards[key.stableHash().mod(SHARDS)]

    private data class PendingRequest(
        val key: LimitKey,
        val token: TokenId,
        val askedAt: Instant,
    )

    private data class Settlement(
        val host: HostName,
        val token: SettledToken,
    )

    private companion object {
        const val SHARDS = 16
    }
}
