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
 * Counts rates and bursts over all entries together.
 *
 * Each rate is divided into slots. The entry that holds a slot spends its share, or lends it for a term to the pool
 * of the key, which one entry keeps. Over any window, all entries together admit at most the burst plus the rate
 * times the window, reckoned with the highest rate and burst that any of them has configured during the window.
 *
 * Requests are counted when they arrive at a target's sidecar. That needs requests which come after their permit's
 * end to be turned away there; see [ArrivalGuard]. All functions may be called by several threads.
 */
public class FleetLimiter(
    private val settings: LimiterSettings,
) {
    private val shards = List(SHARDS) { LimiterShard(settings) }
    private val numbers = AtomicLong()
    private val questions = ConcurrentHashMap<TokenId, Question>()
    private val settlements = ConcurrentLinkedQueue<Settlement>()

    @Volatile
    private var slots = emptyList<HeldSlot>()

    /** Replaces all rates. Keys that are not listed are refused from now on. */
    public fun configure(
        limits: List<Limit>,
        now: Instant,
    ) {
        val byShard = limits.groupBy { shardOf(it.key) }
        shards.forEach { shard ->
            shard.configure(byShard[shard].orEmpty().associate { it.key to it.rate }, now)
        }
    }

    /** Replaces the slots whose shares this entry counts; see [SlotLeases.held]. */
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
     * @param hosts entries that may keep pools; this one must be among them unless it is stopping
     * @param holders entries that hold slots
     */
    public fun changePeers(
        hosts: Set<HostName>,
        holders: Set<HostName>,
    ) {
        val view = FleetView(hosts, holders - settings.host)
        shards.forEach { it.changeView(view) }
    }

    /** Decides whether one request may run. */
    public fun admit(
        key: LimitKey,
        now: Instant,
    ): Admission {
        val token = TokenId(settings.host, settings.incarnation, numbers.incrementAndGet())
        val outbox = outbox(now)
        return when (val verdict = shardOf(key).withKey(key) { admit(token, now, outbox) }) {
            null -> Admission.Refused(settings.times.loanTerm)
            is TokenOutcome.Exhausted -> Admission.Refused(verdict.retryAfter)
            TokenOutcome.Granted -> Admission.Admitted(permit(key, token, settings.host, now))
            TokenOutcome.Waiting -> Admission.Pending(token.number, outbox.outgoing())
            is TokenOutcome.Elsewhere -> ask(verdict.host, key, token, now)
        }
    }

    /** Must follow each [Admission.Admitted] once the request has arrived at a sidecar or was given up. */
    public fun settle(
        permit: Permit,
        now: Instant,
    ) {
        val settled = SettledToken(permit.key, permit.token)
        if (permit.grantedBy == settings.host) {
            settleHere(settled, now)
        } else {
            settlements += Settlement(permit.grantedBy, settled)
        }
    }

    /** Handles a message of the entry [from]; other types of messages are ignored. */
    public fun receive(
        from: HostName,
        message: WireMessage,
        now: Instant,
    ): LimiterOutput {
        val outbox = outbox(now)
        when (message) {
            is LoanCall -> lend(from, message, now, outbox)
            is Loans -> accept(from, message, now, outbox)
            is LoanRecall -> message.keys.forEach { key -> shardOf(key).withKey(key) { giveBack(from, now, outbox) } }
            is LoanReturn -> shardOf(message.key).withKey(message.key) { takeBack(from, message, now) }
            is TokenRequest -> answer(message, now, outbox)
            is TokenGrant -> conclude(message.token) { granted(it, message.token, from, now) }?.let(outbox::decide)
            is TokenRefusal -> conclude(message.token) { Admission.Refused(message.retryAfter) }?.let(outbox::decide)
            is TokensSettled -> message.tokens.forEach { settleHere(it, now) }
            else -> Unit
        }
        return outbox.reaction()
    }

    /** Renews loans, reports settled tokens and refuses requests whose pool stays silent. */
    public fun tick(now: Instant): LimiterOutput {
        val outbox = outbox(now)
        shards.forEach { shard -> shard.forEachKey { tick(now, outbox) } }
        generateSequence { settlements.poll() }.forEach { outbox.settle(it.host, it.token) }
        val silent = questions.values.filter { now - it.askedAt >= settings.times.askPatience }
        silent
            .mapNotNull { question -> conclude(question.token) { Admission.Refused(settings.times.renewEvery) } }
            .forEach(outbox::decide)
        return outbox.reaction()
    }

    private fun ask(
        host: HostName,
        key: LimitKey,
        token: TokenId,
        now: Instant,
    ): Admission {
        questions[token] = Question(key, token, now)
        return Admission.Pending(token.number, listOf(OutgoingMessage(host, TokenRequest(key, token))))
    }

    private fun answer(
        request: TokenRequest,
        now: Instant,
        outbox: Outbox,
    ) {
        val verdict = shardOf(request.key).withKey(request.key) { request(request.token, now, outbox) }
        when (verdict) {
            TokenOutcome.Granted -> outbox.grant(request.key, request.token, now)
            TokenOutcome.Waiting -> Unit
            is TokenOutcome.Exhausted -> outbox.refuse(request.key, request.token, verdict.retryAfter)
            is TokenOutcome.Elsewhere, null -> outbox.refuse(request.key, request.token, settings.times.renewEvery)
        }
    }

    private fun conclude(
        token: TokenId,
        admission: (Question) -> Admission,
    ): Decision? = questions.remove(token)?.let { Decision(token.number, admission(it)) }

    private fun granted(
        question: Question,
        token: TokenId,
        from: HostName,
        now: Instant,
    ): Admission {
        val permit = permit(question.key, token, from, question.askedAt)
        return if (now < permit.validUntil) Admission.Admitted(permit) else Admission.Refused(Duration.ZERO)
    }

    private fun permit(
        key: LimitKey,
        token: TokenId,
        grantedBy: HostName,
        from: Instant,
    ): Permit = Permit(key, token, grantedBy, from + settings.times.permitValidity)

    private fun lend(
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

    private fun accept(
        from: HostName,
        message: Loans,
        now: Instant,
        outbox: Outbox,
    ) {
        if (message.nonce.incarnation != settings.incarnation) {
            return
        }
        message.loans.forEach { loan -> shardOf(loan.key).withKey(loan.key) { accept(from, message, loan, now) } }
        shards.forEach { shard -> shard.forEachKey { noteAnswer(from, message.nonce.sentAt, now, outbox) } }
    }

    private fun settleHere(
        settled: SettledToken,
        now: Instant,
    ) {
        val alsoCountedBy = shardOf(settled.key).withKey(settled.key) { settle(settled.token, now) }
        alsoCountedBy?.let { settlements += Settlement(it, settled) }
    }

    private fun outbox(now: Instant): Outbox = Outbox(settings, Nonce(settings.incarnation, now))

    private fun shardOf(key: LimitKey): LimiterShard = shards[key.stableHash().mod(SHARDS)]

    private data class Question(
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
