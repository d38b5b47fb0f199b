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
 * Keeps this entry's slots in the object API and tells the limiter which it may count.
 *
 * @param peers other entries as they are known
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

    /** Whether this entry counts a slot, or is [connected] to all that do. */
    fun isUsable(connected: Set<HostName>): Boolean {
        val holders = leases.holders()
        return holdsSlot || (holders.isNotEmpty() && holders.all { it in connected })
    }

    /** Whether this entry counts the share of a slot. */
    val holdsSlot: Boolean get() = held.isNotEmpty()

    @Volatile
    private var held = emptyList<Int>()

    /** Keeps the slots until the scope ends. */
    fun start(scope: CoroutineScope) {
        scope.launch { PrefixWatcher(store, SlotLeases.PREFIX).follow { observe(it) } }
        scope.launch { keepLoop(this) }
    }

    /** Takes a message of another entry. */
    fun receive(
        from: HostName,
        message: WireMessage,
    ) {
        leases.receive(from, message, now()).forEach(send)
    }

    /** Gives up all slots and waits, as long as the object API answers, until they are free for others. */
    suspend fun release() {
        stopping = true
        leases.stop(now())
        while (!leases.isReleased()) {
            delay(TICK)
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
    }

    private suspend fun keepLoop(scope: CoroutineScope) {
        while (true) {
            val known = peers()
            leases.writes(known, now()).forEach { scope.launch { write(it) } }
            leases.tick(now()).forEach(send)
            update(leases.held(now()), known)
            delay(TICK)
        }
    }

    private suspend fun write(write: SlotWrite) {
        val value = StoredDocuments.encode(EntrySlot.serializer(), write.value)
        leases.writeCompleted(write, store.put(SlotLeases.key(write.slot), value, write.expected), now())
    }

    private fun update(
        slots: List<HeldSlot>,
        known: List<EntryPeer>,
    ) {
        limiter.changeSlots(slots, now())
        val own = if (stopping) emptySet() else setOf(host)
        limiter.changePeers(own + known.map { it.host }, leases.holders() - host)
        val numbers = slots.map { it.number }
        if (numbers != held) {
            logger.info("slots held: {}", numbers)
            held = numbers
        }
    }

    private companion object {
        val TICK = 200.milliseconds
        val logger = LoggerFactory.getLogger(SlotLeaseManager::class.java)
    }
}
