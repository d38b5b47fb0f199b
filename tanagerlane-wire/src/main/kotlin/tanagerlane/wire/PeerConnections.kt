package tanagerlane.wire

import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.LinkedBlockingQueue
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Connections among processes of one role, made when there is something to say.
 *
 * Messages may be lost: those that wait for a connection that can't be made, and those on a connection that ends.
 *
 * @param addressOf where a host listens, or null when that isn't known
 * @param onMessage takes each message with the host that sent it
 */
public class PeerConnections(
    private val endpoint: WireEndpoint,
    private val scope: CoroutineScope,
    private val addressOf: (HostName) -> WireAddress?,
    private val onMessage: suspend (HostName, WireMessage) -> Unit,
    private val now: () -> Instant,
) {
    private val open = ConcurrentHashMap<HostName, WireConnection>()
    private val waiting = ConcurrentHashMap<HostName, LinkedBlockingQueue<WireMessage>>()

    private val unreachableSince = ConcurrentHashMap<HostName, Instant>()

    /** Hosts with an open connection. */
    public val connected: Set<HostName> get() = open.filterValues { it.isOpen }.keys

    /** Sends [message] to [host], connecting first where needed; does not wait. */
    public fun send(
        host: HostName,
        message: WireMessage,
    ) {
        val connection = open[host]?.takeIf { it.isOpen }
        if (connection != null) {
            connection.trySend(message)
        } else {
            sendWhenConnected(host, message)
        }
    }

    /** Connects to [host] unless that has been done or is under way. */
    public fun probe(host: HostName) {
        if (host !in connected && waiting.putIfAbsent(host, LinkedBlockingQueue(MAXIMUM_WAITING)) == null) {
            scope.launch { connect(host) }
        }
    }

    /** Hosts to which every attempt to connect has failed for at least [bound]. */
    public fun unreachableFor(bound: Duration): Set<HostName> {
        val latest = now() - bound
        return unreachableSince.filterValues { it <= latest }.keys
    }

    /** Takes messages from [connection] until it ends; for connections that the other side made. */
    public suspend fun serve(connection: WireConnection) {
        val host = connection.peer.host
        open[host] = connection
        unreachableSince.remove(host)
        try {
            for (message in connection.incoming) {
                onMessage(host, message)
            }
        } finally {
            open.remove(host, connection)
        }
    }

    private fun sendWhenConnected(
        host: HostName,
        message: WireMessage,
    ) {
        val created = LinkedBlockingQueue<WireMessage>(MAXIMUM_WAITING)
        val present = waiting.putIfAbsent(host, created)
        (present ?: created).offer(message)
        if (present == null) {
            scope.launch { connect(host) }
        }
    }

    private suspend fun connect(host: HostName) {
        val address = addressOf(host)
        if (address == null) {
            waiting.remove(host)
            return
        }
        endpoint
            .connect(address, host)
            .onErr {
                waiting.remove(host)
                unreachableSince.putIfAbsent(host, now())
                logger.debug("no connection to {}: {}", host, it)
            }.onOk { connection ->
                open[host] = connection
                waiting.remove(host)?.forEach { connection.trySend(it) }
                serve(connection)
            }
    }

    private companion object {
        const val MAXIMUM_WAITING = 256
        val logger = LoggerFactory.getLogger(PeerConnections::class.java)
    }
}
