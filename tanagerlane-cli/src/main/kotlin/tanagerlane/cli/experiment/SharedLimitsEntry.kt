package tanagerlane.cli.experiment

import com.github.michaelbull.result.onOk
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import tanagerlane.limits.Admission
import tanagerlane.limits.EntryPeer
import tanagerlane.limits.FleetLimiter
import tanagerlane.limits.Limit
import tanagerlane.limits.LimiterOutput
import tanagerlane.limits.LimiterSettings
import tanagerlane.limits.OutgoingMessage
import tanagerlane.limits.Permit
import tanagerlane.limits.SlotLeases
import tanagerlane.limits.SlotRecord
import tanagerlane.limits.SlotSettings
import tanagerlane.limits.SlotWrite
import tanagerlane.message.EntrySlot
import tanagerlane.message.WireMessage
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.model.Payload
import tanagerlane.store.Listing
import tanagerlane.store.ObjectStore
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One entry with the shared limiter, joined to others by [send]. */
internal class SharedLimitsEntry(
    private val number: Int,
    private val fleet: ExperimentFleet,
    private val store: ObjectStore,
    private val send: (from: Int, OutgoingMessage) -> Unit,
) {
    private val host = hostName(number)
    private val time = fleet.time
    private val limiter = FleetLimiter(LimiterSettings(host, Incarnation(1), SLOT_COUNT))
    private val leases =
        SlotLeases(SlotSettings(host, Incarnation(1), "127.0.0.1", 1, SLOT_COUNT), FailureDomain("domain-$number"))
    private val questions = HashMap<Long, (Boolean) -> Unit>()

    fun start() {
        limiter.configure(fleet.limits, time.now)
        time.every(LIST_PERIOD) { ifAlive(::list) }
        time.every(TICK) { ifAlive(::look) }
    }

    fun decide(
        limit: Limit,
        outcome: (Boolean) -> Unit,
    ) {
        when (val admission = limiter.admit(limit.key, time.now)) {
            is Admission.Pending -> {
                questions[admission.number] = outcome
                admission.outgoing.forEach { send(number, it) }
            }

            else -> {
                conclude(admission, outcome)
            }
        }
    }

    fun receive(
        from: Int,
        message: WireMessage,
    ) {
        ifAlive {
            react(limiter.receive(hostName(from), message, time.now))
            leases.receive(hostName(from), message, time.now).forEach { send(number, it) }
        }
    }

    private fun look() {
        val peers = (fleet.visible - number).map { EntryPeer(hostName(it), FailureDomain("domain-$it")) }
        limiter.changePeers(peers.map { it.host }.toSet() + host, leases.holders())
        limiter.changeSlots(leases.held(time.now), time.now)
        leases.writes(peers, time.now).forEach(::write)
        leases.tick(time.now).forEach { send(number, it) }
        react(limiter.tick(time.now))
    }

    private fun list() {
        runBlocking { store.list(SlotLeases.PREFIX) }.onOk { listing -> leases.observe(records(listing), time.now) }
    }

    private fun records(listing: Listing): List<SlotRecord> =
        (0 until SLOT_COUNT).map { slot ->
            val stored = listing.objects.find { it.key == SlotLeases.key(slot) }
            val value = stored?.let { Json.decodeFromString(EntrySlot.serializer(), it.value.toText()) }
            SlotRecord(slot, value, stored?.version)
        }

    private fun write(write: SlotWrite) {
        val value = Payload.of(Json.encodeToString(EntrySlot.serializer(), write.value))
        val result = runBlocking { store.put(SlotLeases.key(write.slot), value, write.expected) }
        time.after(STORE_DELAY) { ifAlive { leases.writeCompleted(write, result, time.now) } }
    }

    private fun react(reaction: LimiterOutput) {
        reaction.outgoing.forEach { send(number, it) }
        reaction.decisions.forEach { decision ->
            questions.remove(decision.number)?.let { conclude(decision.admission, it) }
        }
    }

    private fun conclude(
        admission: Admission,
        outcome: (Boolean) -> Unit,
    ) {
        if (admission is Admission.Admitted) {
            settleLater(admission.permit)
        }
        outcome(admission is Admission.Admitted)
    }

    private fun settleLater(permit: Permit) {
        time.after(SIDECAR_ROUND_TRIP) { ifAlive { limiter.settle(permit, time.now) } }
    }

    private fun ifAlive(action: () -> Unit) {
        if (number in fleet.alive) {
            action()
        }
    }

    companion object {
        private const val SLOT_COUNT = 4
        private val LIST_PERIOD: Duration = 1.seconds
        private val TICK: Duration = 50.milliseconds
        private val STORE_DELAY: Duration = 5.milliseconds
        private val SIDECAR_ROUND_TRIP: Duration = 2.milliseconds

        fun hostName(number: Int): HostName = HostName("entry-$number")
    }
}
