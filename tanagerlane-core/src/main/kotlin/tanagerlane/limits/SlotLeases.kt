package tanagerlane.limits

import com.github.michaelbull.result.Result
import tanagerlane.message.EntrySlot
import tanagerlane.message.Nonce
import tanagerlane.message.SlotConsent
import tanagerlane.message.SlotConsentRequest
import tanagerlane.message.SlotHeartbeat
import tanagerlane.message.SlotPromise
import tanagerlane.message.WireMessage
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Decides which slots this entry claims, keeps and gives up.
 *
 * A slot is an object that names its holder and up to two successors. A successor may take it over only after it has
 * itself seen the object unchanged for the term of takeover, its last promise to the holder is over and the other
 * successor has consented, whose promises are over too.
 *
 * The holder counts its slot while its last renewal is recent or the promise of one successor lasts. So a holder cut
 * off from the object API alone, or together with everybody in an outage, goes on for as long as one successor
 * answers. One cut off from its successors goes on by renewals. One cut off from all of them stops before a successor
 * can start, and resumes only by a renewal that takes effect, which shows that nobody took the slot over meanwhile.
 * A slot may be taken by any entry after the term of abandonment; that is for slots whose holder is lost together
 * with a successor.
 */
public class SlotLeases(
    private val settings: SlotSettings,
    failureDomain: FailureDomain,
) {
    private val lock = ReentrantLock()
    private val times = settings.times
    private val objects = EntrySlotFactory(settings, failureDomain)
    private val slots = List(settings.slotCount) { SlotState(it, settings) }
    private var heartbeatSentAt = Instant.DISTANT_PAST
    private var isStopping = false
    private var startedAt: Instant? = null

    /** Notes slots as they were read or watched; a slot without an object must be reported once, too. */
    public fun observe(
        records: List<SlotRecord>,
        now: Instant,
    ) {
        lock.withLock { records.forEach { slots.getOrNull(it.slot)?.observe(it, now) } }
    }

    /** Returns the writes that are due; each must be made and then reported to [writeCompleted]. */
    public fun writes(
        peers: List<EntryPeer>,
        now: Instant,
    ): List<SlotWrite> =
        lock.withLock {
            val wanted = if (isStopping) 0 else (settings.slotCount + peers.size) / (peers.size + 1)
            surplus(wanted).forEach { it.stopUsing(now) }
            val kept = slots.indices.mapNotNull { keep(it, peers, now) }
            kept + claims(wanted - inUse().size, peers, now)
        }

    /** Reports the outcome of a write. */
    public fun writeCompleted(
        write: SlotWrite,
        result: Result<ObjectVersion, StoreFailure>,
        now: Instant,
    ) {
        lock.withLock { slots[write.slot].conclude(write, result, now) }
    }

    /** Returns the slots whose shares this entry may count; ask again well within [SlotTimes.useTerm]. */
    public fun held(now: Instant): List<HeldSlot> =
        lock.withLock {
            slots.filter { it.isInUse }.mapNotNull { state ->
                state.lease
                    ?.takeIf { now >= it.countedFrom && now < it.validUntil }
                    ?.let { HeldSlot(state.number, it.countedFrom, minOf(it.validUntil, now + times.useTerm)) }
            }
        }

    /** Entries that hold slots as far as is known. */
    public fun holders(): Set<HostName> = lock.withLock { slots.mapNotNull { it.value?.holder }.toSet() }

    /** Gives up all slots; they are released as [writes] goes on being called. */
    public fun stop(now: Instant) {
        lock.withLock {
            isStopping = true
            slots.forEach { it.stopUsing(now) }
        }
    }

    /** Whether this entry holds no slot any more. */
    public fun isReleased(): Boolean = lock.withLock { slots.none { it.lease != null || it.isClaiming } }

    /** Returns the heartbeats and requests for consent that are due. */
    public fun tick(now: Instant): List<OutgoingMessage> =
        lock.withLock {
            startedAt = startedAt ?: now
            if (now - heartbeatSentAt < times.heartbeatEvery) {
                return emptyList()
            }
            heartbeatSentAt = now
            val nonce = Nonce(settings.incarnation, now)
            heartbeats(nonce, now) + consentRequests(nonce, now)
        }

    /** Handles a message of the entry [from] about slots; other types of messages are ignored. */
    public fun receive(
        from: HostName,
        message: WireMessage,
        now: Instant,
    ): List<OutgoingMessage> =
        lock.withLock {
            when (message) {
                is SlotHeartbeat -> listOf(OutgoingMessage(from, promise(message, now)))
                is SlotConsentRequest -> listOf(OutgoingMessage(from, consent(message, now)))
                is SlotPromise -> emptyList<OutgoingMessage>().also { accept(from, message, now) }
                is SlotConsent -> emptyList<OutgoingMessage>().also { accept(from, message) }
                else -> emptyList()
            }
        }

    private fun heartbeats(
        nonce: Nonce,
        now: Instant,
    ): List<OutgoingMessage> {
        val valid = slots.filter { state -> state.lease?.let { now < it.validUntil } ?: false }
        return byHost(valid) { it.possibleSuccessors.flatten() }.map { (host, numbers) ->
            OutgoingMessage(host, SlotHeartbeat(nonce, numbers))
        }
    }

    private fun consentRequests(
        nonce: Nonce,
        now: Instant,
    ): List<OutgoingMessage> =
        byHost(slots) { it.missingConsents(now).orEmpty() }.map { (host, numbers) ->
            OutgoingMessage(host, SlotConsentRequest(nonce, numbers))
        }

    private fun byHost(
        states: List<SlotState>,
        hosts: (SlotState) -> Collection<HostName>,
    ): Map<HostName, List<Int>> =
        states
            .flatMap { hosts(it) }
            .toSet()
            .associateWith { host -> states.filter { host in hosts(it) }.map { it.number } }

    private fun promise(
        heartbeat: SlotHeartbeat,
        now: Instant,
    ): SlotPromise {
        val until = now + times.promiseTerm + times.margin
        val promised = heartbeat.slots.filter { slots.getOrNull(it)?.promise(until, now) ?: false }
        return SlotPromise(heartbeat.nonce, promised)
    }

    /** Consents for no slot while a promise of this host's earlier incarnation may last. */
    private fun consent(
        request: SlotConsentRequest,
        now: Instant,
    ): SlotConsent {
        val hasForgottenNothing = startedAt?.let { now - it >= times.promiseTerm + times.margin } ?: false
        val until = now + times.consentTerm + times.margin
        val asked = if (hasForgottenNothing) request.slots else emptyList()
        return SlotConsent(request.nonce, asked.filter { slots.getOrNull(it)?.consent(until, now) ?: false })
    }

    private fun accept(
        from: HostName,
        promise: SlotPromise,
        now: Instant,
    ) {
        if (promise.nonce.incarnation == settings.incarnation) {
            val until = promise.nonce.sentAt + times.promiseTerm
            promise.slots.forEach { slots.getOrNull(it)?.acceptPromise(from, until, now) }
        }
    }

    private fun accept(
        from: HostName,
        consent: SlotConsent,
    ) {
        if (consent.nonce.incarnation == settings.incarnation) {
            val until = consent.nonce.sentAt + times.consentTerm
            consent.slots.forEach { slots.getOrNull(it)?.acceptConsent(from, until) }
        }
    }

    private fun inUse(): List<SlotState> = slots.filter { it.isClaiming || it.isInUse }

    private fun surplus(wanted: Int): List<SlotState> = slots.filter { it.isInUse }.drop(wanted)

    private fun keep(
        number: Int,
        peers: List<EntryPeer>,
        now: Instant,
    ): SlotWrite? {
        val state = slots[number]
        val lease = state.lease?.takeIf { state.isReady(now) } ?: return null
        val releaseAt = lease.releaseAt
        return when {
            releaseAt != null && now >= releaseAt -> {
                state.begin(objects.free(), now)
            }

            now - lease.attemptedAt >= times.renewEvery -> {
                state.begin(objects.held(number, lease.successors, peers), now)
            }

            else -> {
                null
            }
        }
    }

    private fun claims(
        missing: Int,
        peers: List<EntryPeer>,
        now: Instant,
    ): List<SlotWrite> {
        if (isStopping || slots.any { it.value?.isOfOtherFleet() == true }) {
            return emptyList()
        }
        val ready = slots.indices.filter { slots[it].lease == null && slots[it].isReady(now) }
        val former = ready.filter { slots[it].value?.holder == settings.host }
        val unresolved = ready.filter { slots[it].isClaiming }
        val free = (ready - unresolved.toSet()).filter { isFree(it, now) }.sortedBy { preference(it) }
        val wanted = free.take((missing - former.size).coerceAtLeast(0))
        return (former + unresolved + wanted).distinct().map { number ->
            val wait = if (number in former) times.useTerm else Duration.ZERO
            slots[number].begin(objects.held(number, emptyList(), peers), now, countedAfter = wait)
        }
    }

    private fun isFree(
        number: Int,
        now: Instant,
    ): Boolean {
        val state = slots[number]
        val holder = state.value?.holder ?: return true
        return when {
            holder == settings.host -> false
            now - state.unchangedSince >= times.abandonTerm -> true
            else -> state.missingConsents(now)?.isEmpty() ?: false
        }
    }

    private fun EntrySlot.isOfOtherFleet(): Boolean = holder != null && slotCount != settings.slotCount

    private fun preference(number: Int): Int = (number + settings.host.text.hashCode()).mod(settings.slotCount)

    public companion object {
        /** Prefix of the keys of all slots. */
        public const val PREFIX: String = "slots/"

        /** Returns the key of a slot's object. */
        public fun key(slot: Int): ObjectKey = ObjectKey("${PREFIX}entry-$slot")
    }
}
