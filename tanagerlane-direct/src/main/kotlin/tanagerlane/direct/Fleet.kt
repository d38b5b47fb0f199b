package tanagerlane.direct

import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import tanagerlane.membership.Member
import tanagerlane.message.ForwardedReport
import tanagerlane.message.Hello
import tanagerlane.message.HostRole
import tanagerlane.message.JobReport
import tanagerlane.message.PlaceReport
import tanagerlane.message.ViewUpdate
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import tanagerlane.wire.MemberDirectory
import tanagerlane.wire.PeerConnections
import tanagerlane.wire.WireAddress
import tanagerlane.wire.WireConnection
import tanagerlane.wire.WireEndpoint
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * The other processes, as far as this one can reach them.
 *
 * @param onMessage takes each message of another process
 * @param onPeerLost called when a process that was reachable has fallen silent
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
    private val datagrams = DatagramTransport(vertx, ::receivedDatagram)
    private val directory = MemberDirectory(hello.host)
    private val heardAt = HashMap<HostName, Instant>()
    private val leaving = HashSet<HostName>()
    private val peers =
        PeerConnections(
            endpoint = endpoint,
            scope = scope,
            addressOf = directory::addressOf,
            onMessage = { from, message -> scope.launch { received(from, message) } },
            now = now,
        )

    val ownHost: HostName get() = hello.host

    /** Members that have registered, this process included. */
    val members: Collection<Member> get() = directory.members

    /** Other processes that were heard of lately. */
    val reachable: Set<HostName>
        get() = heardAt.filterValues { now() - it <= SILENCE_TIMEOUT }.keys

    /** Processes to ask for help: those that stay, or all that were heard of lately where none stays. */
    val relayCandidates: Set<HostName>
        get() {
            val heard = reachable
            return (heard - leaving).ifEmpty { heard }
        }

    /** Registered processes that were not heard of lately. */
    val unreachable: List<HostName>
        get() {
            val heard = reachable
            return members.map { it.host }.filter { it != ownHost && it !in heard }
        }

    /** Listens for messages that come without a connection. */
    suspend fun listen(address: WireAddress): Unit = datagrams.listen(address)

    /** Serves a connection that another process has made. */
    suspend fun serve(connection: WireConnection): Unit = peers.serve(connection)

    fun updateMembers(members: Collection<Member>) {
        directory.update(members)
    }

    fun send(
        to: HostName,
        message: WireMessage,
    ): Unit = peers.send(to, message)

    /**
     * Sends [message] to all that are registered, as a datagram where it is short enough.
     *
     * A datagram may be lost; what is lost must be noticed by the next message of its kind.
     */
    fun broadcast(message: WireMessage): Unit = send(members.map { it.host }.filter { it != ownHost }, message)

    /** Sends [message] to each of [receivers], as a datagram that may be lost where it is short enough. */
    fun send(
        receivers: Collection<HostName>,
        message: WireMessage,
    ) {
        if (receivers.isNotEmpty() && !datagrams.send(message, receivers.mapNotNull(directory::addressOf))) {
            receivers.forEach { peers.send(it, message) }
        }
    }

    /** Processes that run jobs and can be reached, this one included where [includeOwn]. */
    fun runners(includeOwn: Boolean): Set<HostName> {
        val others = members.filter { it.role == HostRole.BATCH && it.host in reachable && it.host !in leaving }
        return others.mapTo(HashSet()) { it.host } + if (includeOwn) setOf(ownHost) else emptySet()
    }

    /** Notes whether [host] has said that it is leaving. */
    fun setLeaving(
        host: HostName,
        isLeaving: Boolean,
    ) {
        if (isLeaving) leaving.add(host) else leaving.remove(host)
    }

    /** Notices processes that have fallen silent. */
    fun detectLostPeers() {
        val silent = heardAt.filterValues { now() - it > SILENCE_TIMEOUT }.keys.toList()
        for (host in silent) {
            heardAt.remove(host)
            leaving.remove(host)
            logger.info("peer lost host={} reachable={}", host, heardAt.size)
            onPeerLost(host)
        }
    }

    private fun receivedDatagram(
        address: WireAddress,
        message: WireMessage,
    ) {
        if (message is ForwardedReport) {
            onMessage(message.report.host, message)
            return
        }
        val sender =
            when (message) {
                is PlaceReport -> message.host
                is JobReport -> message.host
                is ViewUpdate -> message.host
                else -> null
            }
        if (sender == null) {
            logger.warn("unexpected datagram type={}", message::class.simpleName)
        } else if (sender != ownHost) {
            directory.learn(sender, address)
            received(sender, message)
        }
    }

    private fun received(
        from: HostName,
        message: WireMessage,
    ) {
        if (heardAt.put(from, now()) == null) {
            logger.info("peer heard host={} reachable={}", from, heardAt.size)
        }
        onMessage(from, message)
    }

    internal companion object {
        /** Time without a message after which a process counts as lost. */
        val SILENCE_TIMEOUT = 700.milliseconds
        private val logger = LoggerFactory.getLogger(Fleet::class.java)
    }
}
