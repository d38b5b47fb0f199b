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
 * Decides which slots this entry claims, renews and releases.
 *
 * A slot is a stored object that names its holder and up to two successors. A successor may take the slot over only
 * after it has itself observed the object unchanged for [SlotTimes.takeoverTerm], its last promise to the holder has
 * expired, and the other successor has consented, whose promises must have expired too.
 *
 * The holder uses its slot while its last renewal is recent or the promise of at least one successor is valid:
 * - A holder that cannot reach the object API, alone or in an outage, continues as long as one successor answers.
 * - A holder that cannot reach its successors continues by renewing the object.
 * - A holder that can reach neither stops before a successor can start. It resumes only after a successful renewal,
 *   which proves that no other entry took the slot over in the meantime.
 *
 * Any entry may claim a slot after [SlotTimes.abandonmentTerm]; this covers slots whose holder is lost together with a
 * successor.
 */
public class SlotLeases(
    private val settings: SlotSettings,
    failureDomain: FailureDomain,
) {
    private val lock = ReentrantLock()
    private val times = settings.times
    private val slotFactory = EntrySlotFactory(settings, failureDomain)
    private val slots = List(settings.slotCount) { SlotState(it, settings) }
    private var heartbeatSentAt = Instant.DISTANT_PAST
    private var isStopping = false
    private var startedAt: Instant? = null

    /** Records slots as read or watched in the store; a slot without an object must be reported once, too. */
    public fun observe(
        records: List<SlotRecord>,
        now: Instant,
    ) {
        lock.withLock { records.forEach { slots.getOrNull(it.slot)?.observe(it, now) } }
    }

    /** Returns the writes that are due; the caller must execute each and then report its result to [writeCompleted]. */
    public fun writes(
        peers: List<EntryPeer>,
        now: Instant,
    ): List<SlotWrite> =
        lock.withLock {
            val wanted = if (isStopping) 0 else (settings.slotCount + peers.size) / (peers.size + 1)
            surplusSlots(wanted).forEach { it.stopUsing(now) }
            val kept = slots.indices.mapNotNull { renewOrRelease(it, peers, now) }
            kept + claims(wanted - inUse().size, peers, now)
        }

    /** Records the result of a write. */
    public fun writeCompleted(
        write: SlotWrite,
        result: Result<ObjectVersion, StoreFailure>,
        now: Instant,
    ) {
        lock.withLock { slots[write.slot].completeWrite(write, result, now) }
    }

    /** Returns the slots whose shares this entry may spend; call again well within [SlotTimes.useTerm]. */
    public fun held(now: Instant): List<HeldSlot> =
        lock.withLock {
            slots.filter { it.isInUse }.mapNotNull { state ->
                state.lease
                    ?.takeIf { now >= it.countedFrom && now < it.validUntil }
                    ?.let { HeldSlot(state.number, it.countedFrom, minOf(it.validUntil, now + times.useTerm)) }
            }
        }

    /** Entries that hold slots, as last observed. */
    public fun holders(): Set<HostName> = lock.withLock { slots.mapNotNull { it.value?.holder }.toSet() }

    /** Stops using all slots; further calls of [writes] release them. */
    public fun stop(now: Instant) {
        lock.withLock {
            isStopping = true
            slots.forEach { it.stopUsing(now) }
        }
    }

    /** Whether this entry holds no slot and has no claim in progress. */
    public fun isReleased(): Boolean = lock.withLock { slots.none { it.lease != null || it.isClaiming } }

    /** Returns the heartbeats and requests for consent that are due. */
    public fun tick(now: Instant): List<OutgoingMessage> =
        lock.withLock {
            startedAt = startedAt ?: now
            if (now - heartbeatSentAt < times.heartbeatInterval) {
                return emptyList()
            }
            heartbeatSentAt = now
            val nonce = Nonce(settings.incarnation, now)
            heartbeats(nonce, now) + consentRequests(nonce, now)
        }

    /** Handles a message from the entry [from] about slots; messages of other types are ignored. */
    public fun receive(
        from: HostName,
        message: WireMessage,
        now: Instant,
    ): List<OutgoingMessage> =
        lock.withLock {
            when (message) {
                is SlotHeartbeat -> listOf(OutgoingMessage(from, promise(message, now)))
                is SlotConsentRequest -> listOf(OutgoingMessage(from, consent(message, now)))
                is SlotPromise -> emptyList<OutgoingMessage>().also { acceptPromise(from, message, now) }
                is SlotConsent -> emptyList<OutgoingMessage>().also { acceptConsent(from, message) }
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
        val until = now + times.promiseTerm + times.driftMargin
        val promised = heartbeat.slots.filter { slots.getOrNull(it)?.promise(until, now) ?: false }
        return SlotPromise(heartbeat.nonce, promised)
    }

    /** Consents to no takeover while a promise of this host's earlier incarnation may still be valid. */
    private fun consent(
        request: SlotConsentRequest,
        now: Instant,
    ): SlotConsent {
        val earlierPromisesExpired = startedAt?.let { now - it >= times.promiseTerm + times.driftMargin } ?: false
        val until = now + times.consentTerm + times.driftMargin
        val eligible = if (earlierPromisesExpired) request.slots else emptyList()
        return SlotConsent(request.nonce, eligible.filter { slots.getOrNull(it)?.consent(until, now) ?: false })
    }

    private fun acceptPromise(
        from: HostName,
        promise: SlotPromise,
        now: Instant,
    ) {
        if (promise.nonce.incarnation == settings.incarnation) {
            val until = promise.nonce.sentAt + times.promiseTerm
            promise.slots.forEach { slots.getOrNull(it)?.acceptPromise(from, until, now) }
        }
    }

    private fun acceptConsent(
        from: HostName,
        consent: SlotConsent,
    ) {
        if (consent.nonce.incarnation == settings.incarnation) {
            val until = consent.nonce.sentAt + times.consentTerm
            consent.slots.forEach { slots.getOrNull(it)?.acceptConsent(from, until) }
        }
    }

    private fun inUse(): List<SlotState> = slots.filter { it.isClaiming || it.isInUse }

    private fun surplusSlots(wanted: Int): List<SlotState> = slots.filter { it.isInUse }.drop(wanted)

    private fun renewOrRelease(
        number: Int,
        peers: List<EntryPeer>,
        now: Instant,
    ): SlotWrite? {
        val state = slots[number]
        val lease = state.lease?.takeIf { state.canWrite(now) } ?: return null
        val releaseAt = lease.releaseAt
        return when {
            releaseAt != null && now >= releaseAt -> {
                state.beginWrite(slotFactory.freeSlot(), now)
            }

            now - lease.attemptedAt >= times.renewalInterval -> {
                state.beginWrite(slotFactory.heldSlot(number, lease.successors, peers), now)
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
        if (isStopping || slots.any { it.value?.hasOtherSlotCount() == true }) {
            return emptyList()
        }
        val ready = slots.indices.filter { slots[it].lease == null && slots[it].canWrite(now) }
        val formerlyHeld = ready.filter { slots[it].value?.holder == settings.host }
        val unresolved = ready.filter { slots[it].isClaiming }
        val free = (ready - unresolved.toSet()).filter { isClaimable(it, now) }.sortedBy { claimOrder(it) }
        val wanted = free.take((missing - formerlyHeld.size).coerceAtLeast(0))
        return (formerlyHeld + unresolved + wanted).distinct().map { number ->
            val countingDelay = if (number in formerlyHeld) times.useTerm else Duration.ZERO
            slots[number].beginWrite(
                slotFactory.heldSlot(number, emptyList(), peers),
                now,
                countingDelay = countingDelay,
            )
        }
    }

    private fun isClaimable(
        number: Int,
        now: Instant,
    ): Boolean {
        val state = slots[number]
        val holder = state.value?.holder ?: return true
        return when {
            holder == settings.host -> false
            now - state.unchangedSince >= times.abandonmentTerm -> true
            else -> state.missingConsents(now)?.isEmpty() ?: false
        }
    }

    private fun EntrySlot.hasOtherSlotCount(): Boolean = holder != null && slotCount != settings.slotCount

    private fun claimOrder(number: Int): Int = (number + settings.host.text.hashCode()).mod(settings.slotCount)

    public companion object {
        /** Key prefix of all slot objects. */
        public const val PREFIX: String = "slots/"

        /** Returns the key of the object of [slot]. */
        public fun key(slot: Int): ObjectKey = ObjectKey("${PREFIX}entry-$slot")
    }
}
