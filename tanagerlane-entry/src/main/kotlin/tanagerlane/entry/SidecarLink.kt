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
 * Keeps one connection to the sidecar of [target] and replaces it whenever it ends.
 *
 * @param onEvent hears of each connection that opens or ends and of each message
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

    /** Incarnation of the connected sidecar, or null while there is no connection. */
    val incarnation: Incarnation?
        get() =
            current
                ?.connection
                ?.takeIf { it.isOpen }
                ?.peer
                ?.incarnation

    fun start(scope: CoroutineScope) {
        job = scope.launch { connectLoop(this) }
    }

    /** Makes no further connection; the present one stays until the sidecar ends it. */
    fun retire() {
        retired = true
    }

    /** Whether the link makes no further connection. */
    val isRetired: Boolean get() = retired

    fun stop() {
        job?.cancel()
        current?.connection?.close()
    }

    /** Sends [message]; returns false when it certainly wasn't sent. */
    suspend fun send(message: WireMessage): Boolean = current?.connection?.send(message) ?: false

    /** Sends [message] only to the sidecar of [expected]; returns false when it certainly wasn't sent. */
    suspend fun send(
        message: WireMessage,
        expected: Incarnation,
    ): Boolean {
        val connection = current?.connection
        return connection?.peer?.incarnation == expected && connection.send(message)
    }

    /**
     * Replaces the connection unless it was opened after [since].
     *
     * Returns the event for a connection that is there already; otherwise the event follows when one opens.
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
            logger.warn("sidecar of {} has registered the invalid address {}", target, member.address)
            return
        }
        while (scope.isActive && !retired) {
            endpoint
                .connect(address, member.host)
                .onOk { follow(it) }
                .onErr { delay(backoff.next()) }
        }
    }

    private suspend fun follow(connection: WireConnection) {
        current = OpenConnection(connection, now())
        logger.info("connected to the sidecar of {}", target)
        onEvent(this, opened(connection))
        for (message in connection.incoming) {
            backoff.reset()
            onEvent(this, AttemptEvent.Received(message))
        }
        logger.info("connection to the sidecar of {} ended: {}", target, connection.fault)
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
