package tanagerlane.entry

import com.github.michaelbull.result.get
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import tanagerlane.limits.EntryPeer
import tanagerlane.limits.FleetLimiter
import tanagerlane.limits.HeldSlot
import tanagerlane.limits.OutgoingMessage
import tanagerlane.limits.SlotLeases
import tanagerlane.limits.SlotRecord
import tanagerlane.limits.SlotWrite
import tanagerlane.message.EntrySlot
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import tanagerlane.runtime.PrefixWatcher
import tanagerlane.runtime.StoredDocuments
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.StoredObject
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Claims, renews and releases this entry's slots in the object API and gives the limiter those that it may spend.
 *
 * @param peers other live entries
 */
internal class SlotLeaseManager(
    private val host: HostName,
    private val slotCount: Int,
    private val leases: SlotLeases,
    private val limiter: FleetLimiter,
    private val store: ObjectStore,
    private val peers: () -> List<EntryPeer>,
    private val send: (OutgoingMessage) -> Unit,
    private val now: () -> Instant,
) {
    @Volatile
    private var stopping = false

    @Volatile
    private var learnedHolders = emptySet<HostName>()

    /** Entries that hold slots: as last observed or, while no slot could be read, as named by another entry. */
    val holders: Set<HostName> get() = leases.holders().ifEmpty { learnedHolders }

    /**
     * Whether this entry may spend a slot, or is [connected] to every other holder of a slot.
     *
     * Slots of its own earlier incarnation cannot be claimed during an outage, so they are not waited for.
     */
    fun isUsable(connected: Set<HostName>): Boolean {
        val others = holders - host
        return holdsSlot || (others.isNotEmpty() && others.all { it in connected })
    }

    /** Uses [named] as the holders of slots until slots are read from the object API. */
    fun learnHolders(named: Set<HostName>) {
        learnedHolders = named
    }

    /** Whether this entry may spend the share of a slot. */
    val holdsSlot: Boolean get() = held.isNotEmpty()

    @Volatile
    private var held = emptyList<Int>()

    /** Manages the slots until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch { PrefixWatcher(store, SlotLeases.PREFIX).follow { observe(it) } }
        scope.launch { leaseLoop(this) }
    }

    /** Handles a message from the entry [from]; messages that do not concern slots are ignored. */
    fun receive(
        from: HostName,
        message: WireMessage,
    ) {
        leases.receive(from, message, now()).forEach(send)
    }

    /** Releases all slots; returns once the object API has stored that, so not during an outage. */
    suspend fun release() {
        stopping = true
        leases.stop(now())
        while (!leases.isReleased()) {
            delay(TICK_INTERVAL)
        }
    }

    private fun observe(objects: Map<ObjectKey, StoredObject>) {
        val records =
            (0 until slotCount).map { slot ->
                val stored = objects[SlotLeases.key(slot)]
                val value = stored?.let { StoredDocuments.decode(EntrySlot.serializer(), it.value).get() }
                SlotRecord(slot, value, stored?.version)
            }
        leases.observe(records, now())
        learnedHolders = emptySet()
    }

    private suspend fun leaseLoop(scope: CoroutineScope) {
        while (true) {
            val currentPeers = peers()
            leases.writes(currentPeers, now()).forEach { scope.launch { write(it) } }
            leases.tick(now()).forEach(send)
            updateLimiter(leases.held(now()), currentPeers)
            delay(TICK_INTERVAL)
        }
    }

    private suspend fun write(write: SlotWrite) {
        val value = StoredDocuments.encode(EntrySlot.serializer(), write.value)
        leases.writeCompleted(write, store.put(SlotLeases.key(write.slot), value, write.expected), now())
    }

    private fun updateLimiter(
        slots: List<HeldSlot>,
        currentPeers: List<EntryPeer>,
    ) {
        limiter.changeSlots(slots, now())
        val own = if (stopping) emptySet() else setOf(host)
        limiter.changePeers(own + currentPeers.map { it.host }, holders - host)
        val numbers = slots.map { it.number }
        if (numbers != held) {
            logger.info("slots held slots={}", numbers)
            held = numbers
        }
    }

    private companion object {
        val TICK_INTERVAL = 200.milliseconds
        val logger = LoggerFactory.getLogger(SlotLeaseManager::class.java)
    }
}
