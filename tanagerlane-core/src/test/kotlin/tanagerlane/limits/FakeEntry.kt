package tanagerlane.limits

import com.github.michaelbull.result.Err
import tanagerlane.message.LimitKey
import tanagerlane.message.Nonce
import tanagerlane.message.WireMessage
import tanagerlane.model.FailureDomain
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import tanagerlane.store.StoreFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** One incarnation of an entry: a limiter and slot leases that run in a [FakeFleet]. */
internal class FakeEntry(
    val host: HostName,
    incarnation: Incarnation,
    private val fleet: FakeFleet,
    private val clock: (Duration) -> Instant,
) {
    private val limiter = FleetLimiter(LimiterSettings(host, incarnation, fleet.slotCount))
    private val leases =
        SlotLeases(SlotSettings(host, incarnation, "127.0.0.1", 1, fleet.slotCount), FailureDomain(host.text))
    private val pendingNonces = HashMap<Long, Nonce?>()
    var isAlive = true
    var pausedUntil = Duration.ZERO
    var arrivalNonce: Nonce? = null
    val refusals = mutableListOf<Duration>()

    private val now: Instant
        get() = clock(fleet.time)

    fun configure(limits: List<Limit>) = limiter.configure(limits, now)

    fun request(key: LimitKey) {
        val nonce = arrivalNonce
        when (val admission = limiter.admit(key, now)) {
            is Admission.Pending -> {
                pendingNonces[admission.number] = nonce
                send(admission.outgoing)
            }

            else -> {
                complete(admission, nonce)
            }
        }
    }

    fun receive(
        from: HostName,
        message: WireMessage,
    ) {
        handle(limiter.receive(from, message, now))
        send(leases.receive(from, message, now))
    }

    fun settle(permit: Permit) = limiter.settle(permit, now)

    fun runPass(peers: List<HostName>) {
        limiter.changePeers(peers.toSet() + host, leases.holders())
        limiter.changeSlots(leases.held(now), now)
        leases.writes(peers.map { EntryPeer(it, FailureDomain(it.text)) }, now).forEach(::write)
        send(leases.tick(now))
        handle(limiter.tick(now))
    }

    fun list() {
        fleet.onStore(this) { store ->
            store.list()?.let { records -> fleet.runLater(this, fleet.networkDelay()) { leases.observe(records, now) } }
        }
    }

    private fun write(write: SlotWrite) {
        var isAnswered = false
        fleet.onStore(this) { store ->
            val result = store.put(write)
            if (!fleet.chance(LOST_ANSWER)) {
                fleet.runLater(this, fleet.networkDelay()) {
                    if (!isAnswered) leases.writeCompleted(write, result, now)
                    isAnswered = true
                }
            }
        }
        fleet.runLater(this, STORE_TIMEOUT) {
            if (!isAnswered) leases.writeCompleted(write, Err(StoreFailure.OutcomeUnknown("timeout")), now)
            isAnswered = true
        }
    }

    private fun handle(output: LimiterOutput) {
        send(output.outgoing)
        output.decisions.forEach { complete(it.admission, pendingNonces.remove(it.number)) }
    }

    private fun complete(
        admission: Admission,
        nonce: Nonce?,
    ) {
        if (admission is Admission.Admitted) {
            fleet.runLater(this, fleet.processingDelay()) { fleet.arrive(this, admission.permit, nonce) }
        } else {
            refusals += fleet.time
        }
    }

    private fun send(messages: List<OutgoingMessage>) {
        messages.forEach { outgoing ->
            fleet.runLater(this, fleet.processingDelay()) { fleet.transmit(this, outgoing) }
        }
    }

    private companion object {
        const val LOST_ANSWER = 0.05
        val STORE_TIMEOUT = 1.seconds
    }
}
