package tanagerlane.direct

import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import tanagerlane.limits.EntryFleet
import tanagerlane.membership.Member
import tanagerlane.message.CrashReport
import tanagerlane.message.ForwardedReport
import tanagerlane.message.Hello
import tanagerlane.message.HostRole
import tanagerlane.message.JobReport
import tanagerlane.message.OriginQuery
import tanagerlane.message.OriginReply
import tanagerlane.message.OriginReport
import tanagerlane.message.Ping
import tanagerlane.message.PlaceReport
import tanagerlane.message.ViewUpdate
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import tanagerlane.views.SocketDelay
import tanagerlane.wire.MemberDirectory
import tanagerlane.wire.PeerConnections
import tanagerlane.wire.WireAddress
import tanagerlane.wire.WireConnection
import tanagerlane.wire.WireEndpoint
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Exchanges messages with the other processes, and tracks which of them are reachable.
 *
 * @param onMessage called with each message from another process
 * @param onPeerLost called when no message was received from a reachable process for [SILENCE_TIMEOUT]
 */
internal class Fleet(
    vertx: Vertx,
    private val hello: Hello,
    private val scope: CoroutineScope,
    private val endpoint: WireEndpoint,
    private val now: () -> Instant,
    private val onMessage: (HostName, WireMessage) -> Unit,
    private val onPeerLost: (HostName) -> Unit,
) {
    private val datagrams = DatagramTransport(vertx, ::onDatagram)
    private val socketDelay = SocketDelay(now(), lastProbe = Random.nextLong(), DELAY_TOLERANCE)
    private val memberDirectory = MemberDirectory(hello.host)
    private val lastMessageAt = HashMap<HostName, Instant>()
    private val leaving = HashSet<HostName>()
    private var lastView: FleetView? = null
    private val peers =
        PeerConnections(
            endpoint = endpoint,
            scope = scope,
            addressOf = memberDirectory::addressOf,
            onMessage = { from, message -> scope.launch { onPeerMessage(from, message, connectionDelay) } },
            now = now,
        )

    /** Called with a process from which no message was received for [SILENCE_TIMEOUT], or ever, before its first one. */
    var onPeerHeard: (HostName) -> Unit = {}

    /** Host of this process. */
    val ownHost: HostName get() = hello.host

    /** All registered processes, including this one. */
    val members: Collection<Member> get() = memberDirectory.members

    /** Other processes from which a message was received within [SILENCE_TIMEOUT], checked every [CHECK_INTERVAL]. */
    val reachable: Set<HostName> get() = view().reachable

    /** Time for which what is read now from connections may have lain there, as this process stood still. */
    val connectionDelay: Duration get() = socketDelay.ofOthers(now())

    /** Number of entries, and of those that are reachable; this process counts as one. */
    val entries: EntryFleet get() = view().entries

    /** Processes that may relay calls: the reachable ones that are not leaving, or all reachable ones if all leave. */
    val relayCandidates: Set<HostName>
        get() {
            val candidates = reachable
            return (candidates - leaving).ifEmpty { candidates }
        }

    /** Registered processes from which no message was received within [SILENCE_TIMEOUT]. */
    val unreachable: List<HostName>
        get() {
            val reachableHosts = reachable
            return members.map { it.host }.filter { it != ownHost && it !in reachableHosts }
        }

    /** Starts to receive datagrams at [address]. */
    suspend fun listen(address: WireAddress) {
        datagrams.listen(address)
        RestartingLoops(scope).launch("probes") { probe(address) }
    }

    /** Serves a connection that another process has opened. */
    suspend fun serve(connection: WireConnection): Unit = peers.serve(connection)

    /** Replaces the registered processes by [members]. */
    fun updateMembers(members: Collection<Member>) {
        memberDirectory.update(members)
        lastView = null
    }

    /** Sends [message] to [to] over a connection. */
    fun send(
        to: HostName,
        message: WireMessage,
    ): Unit = peers.send(to, message)

    /**
     * Sends [message] to all other registered processes, as a datagram if it is short enough.
     *
     * A datagram may be lost; receivers must be able to detect the loss from the next message of the same kind.
     */
    fun broadcast(message: WireMessage): Unit = send(members.map { it.host }.filter { it != ownHost }, message)

    /** Sends [message] to each of [receivers], as a datagram, which may be lost, if it is short enough. */
    fun send(
        receivers: Collection<HostName>,
        message: WireMessage,
    ) {
        if (receivers.isNotEmpty() && !datagrams.send(message, receivers.mapNotNull(memberDirectory::addressOf))) {
            receivers.forEach { peers.send(it, message) }
        }
    }

    /** Returns the reachable processes that run jobs and are not leaving, with this one if [includeOwn]. */
    fun runners(includeOwn: Boolean): Set<HostName> {
        val others = members.filter { it.role == HostRole.BATCH && it.host in reachable && it.host !in leaving }
        return others.mapTo(HashSet()) { it.host } + if (includeOwn) setOf(ownHost) else emptySet()
    }

    /** Records whether [host] has reported that it is leaving. */
    fun setLeaving(
        host: HostName,
        isLeaving: Boolean,
    ) {
        if (isLeaving) leaving.add(host) else leaving.remove(host)
    }

    /** Removes processes from which no message was received within [SILENCE_TIMEOUT], and reports each as lost. */
    fun detectLostPeers() {
        val silent = lastMessageAt.filterValues { now() - it > SILENCE_TIMEOUT }.keys.toList()
        for (host in silent) {
            lastMessageAt.remove(host)
            lastView = null
            leaving.remove(host)
            logger.info("peer lost host={} reachable={}", host, lastMessageAt.size)
            onPeerLost(host)
        }
    }

    /** Sends probes to the datagram socket of this process, at [own], until cancelled. */
    private suspend fun probe(own: WireAddress) {
        while (true) {
            datagrams.send(Ping(socketDelay.send(now())), listOf(own))
            delay(PROBE_INTERVAL)
        }
    }

    private fun onDatagram(
        address: WireAddress,
        message: WireMessage,
    ) {
        if (message is Ping) {
            socketDelay.read(message.nonce)
            return
        }
        if (message is ForwardedReport) {
            onMessage(message.report.host, message)
            return
        }
        val sender =
            when (message) {
                is PlaceReport -> message.host
                is JobReport -> message.host
                is CrashReport -> message.host
                is ViewUpdate -> message.host
                is OriginReport -> message.host
                is OriginQuery -> message.host
                is OriginReply -> message.host
                else -> null
            }
        if (sender == null) {
            logger.warn("unexpected datagram type={}", message::class.simpleName)
        } else if (sender != ownHost) {
            memberDirectory.learn(sender, address)
            onPeerMessage(sender, message, socketDelay.ofProbes(now()))
        }
    }

    private fun onPeerMessage(
        from: HostName,
        message: WireMessage,
        delay: Duration,
    ) {
        if (lastMessageAt.put(from, now()) == null) {
            lastView = null
            logger.info("peer heard host={} reachable={}", from, lastMessageAt.size)
            onPeerHeard(from)
        }
        onMessage(from, if (message is ViewUpdate) message.copy(age = message.age + delay) else message)
    }

    /** Returns what is known of the other processes; derived again only at intervals, because each report asks for it. */
    private fun view(): FleetView {
        val time = now()
        return lastView?.takeIf { time - it.at < CHECK_INTERVAL } ?: viewAt(time).also { lastView = it }
    }

    private fun viewAt(time: Instant): FleetView {
        val reachable = lastMessageAt.filterValues { time - it <= SILENCE_TIMEOUT }.keys.toSet()
        val entries = members.filter { it.role == HostRole.ENTRY }.mapTo(HashSet()) { it.host } + ownHost
        return FleetView(
            at = time,
            reachable = reachable,
            entries = EntryFleet(entries.size, entries.count { it == ownHost || it in reachable }),
        )
    }

    private class FleetView(
        val at: Instant,
        val reachable: Set<HostName>,
        val entries: EntryFleet,
    )

    internal companion object {
        /** Time for which the set of reachable processes is kept. */
        private val CHECK_INTERVAL = 50.milliseconds

        private val PROBE_INTERVAL = 50.milliseconds

        /** Time in which a probe is read after the one before it, on a process that does not stand still. */
        private val DELAY_TOLERANCE = PROBE_INTERVAL * 3

        /** Time without a message from a process after which it counts as lost. */
        val SILENCE_TIMEOUT = 700.milliseconds
        private val logger = LoggerFactory.getLogger(Fleet::class.java)
    }
}
