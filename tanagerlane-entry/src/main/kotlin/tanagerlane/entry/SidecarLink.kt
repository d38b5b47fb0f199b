package tanagerlane.entry

import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import tanagerlane.attempts.AttemptEvent
import tanagerlane.attempts.ReconnectBackoff
import tanagerlane.membership.Member
import tanagerlane.message.WireMessage
import tanagerlane.model.Incarnation
import tanagerlane.model.TargetName
import tanagerlane.wire.WireAddress
import tanagerlane.wire.WireConnection
import tanagerlane.wire.WireEndpoint
import kotlin.random.Random
import kotlin.time.Instant

/**
 * Maintains one connection to the sidecar of [target] and replaces it whenever it ends.
 *
 * @param onEvent called when a connection opens or ends and for each message
 */
internal class SidecarLink(
    val target: TargetName,
    private val member: Member,
    private val endpoint: WireEndpoint,
    private val now: () -> Instant,
    private val onEvent: suspend (SidecarLink, AttemptEvent) -> Unit,
) {
    private val backoff = ReconnectBackoff(Random.Default)
    private var job: Job? = null

    @Volatile
    private var current: OpenConnection? = null

    @Volatile
    private var retired = false

    /** Incarnation of the connected sidecar, or null if there is no connection. */
    val incarnation: Incarnation?
        get() =
            current
                ?.connection
                ?.takeIf { it.isOpen }
                ?.peer
                ?.incarnation

    /** Connects in the background until the link is retired or stopped. */
    fun start(scope: CoroutineScope) {
        job = scope.launch { connectLoop(this) }
    }

    /** Stops opening connections; the current one stays open until the sidecar closes it. */
    fun retire() {
        retired = true
    }

    /** Whether the link no longer opens connections. */
    val isRetired: Boolean get() = retired

    /** Closes the connection and opens no other. */
    fun stop() {
        job?.cancel()
        current?.connection?.close()
    }

    /** Sends [message]; returns false if it was certainly not sent. */
    suspend fun send(message: WireMessage): Boolean = current?.connection?.send(message) ?: false

    /** Sends [message] only to the sidecar incarnation [expected]; returns false if it was certainly not sent. */
    suspend fun send(
        message: WireMessage,
        expected: Incarnation,
    ): Boolean {
        val connection = current?.connection
        return connection?.peer?.incarnation == expected && connection.send(message)
    }

    /**
     * Closes the connection, so that it is replaced, unless it was opened after [since].
     *
     * Returns the event of a connection opened after [since], or null; [onEvent] then gets it once a connection opens.
     */
    fun reconnect(since: Instant): AttemptEvent? {
        val open = current?.takeIf { it.connection.isOpen }
        if (open != null && open.openedAt > since) {
            return opened(open.connection)
        }
        open?.connection?.close()
        return null
    }

    private suspend fun connectLoop(scope: CoroutineScope) {
        val address = WireAddress.parse(member.address)
        if (address == null) {
            logger.warn("sidecar registered an invalid address target={} address={}", target, member.address)
            return
        }
        while (scope.isActive && !retired) {
            endpoint
                .connect(address, member.host)
                .onOk { receiveFrom(it) }
                .onErr { delay(backoff.next()) }
        }
    }

    private suspend fun receiveFrom(connection: WireConnection) {
        current = OpenConnection(connection, now())
        logger.info("sidecar connected target={}", target)
        onEvent(this, opened(connection))
        for (message in connection.incoming) {
            backoff.reset()
            onEvent(this, AttemptEvent.Received(message))
        }
        logger.info("sidecar disconnected target={} cause={}", target, connection.fault)
        onEvent(this, AttemptEvent.ConnectionLost(target))
    }

    private fun opened(connection: WireConnection) = AttemptEvent.ConnectionOpened(target, connection.peer.incarnation)

    private data class OpenConnection(
        val connection: WireConnection,
        val openedAt: Instant,
    )

    private companion object {
        val logger = LoggerFactory.getLogger(SidecarLink::class.java)
    }
}
