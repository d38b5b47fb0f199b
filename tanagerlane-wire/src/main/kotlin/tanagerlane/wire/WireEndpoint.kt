package tanagerlane.wire

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.message.Hello
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import java.io.IOException
import java.nio.channels.UnresolvedAddressException
import kotlin.time.Instant

/**
 * Makes and accepts connections for one process.
 *
 * @param hello greeting of this process
 * @param scope lifetime of all connections
 * @param now reads the monotonic clock
 */
public class WireEndpoint(
    private val hello: Hello,
    private val scope: CoroutineScope,
    private val limits: WireLimits = WireLimits(),
    private val now: () -> Instant,
) {
    private val selector = SelectorManager(Dispatchers.IO)

    @Volatile
    private var listener: ServerSocket? = null

    /**
     * Listens on [address] and gives each connection that greets properly to [onConnection], in a coroutine of its own.
     *
     * Returns the address that is in use, with the chosen port where [address] had port 0.
     */
    public suspend fun listen(
        address: WireAddress,
        onConnection: suspend (WireConnection) -> Unit,
    ): Result<WireAddress, WireFault> =
        try {
            val socket = aSocket(selector).tcp().bind(address.host, address.port)
            listener = socket
            scope.launch { acceptLoop(socket, onConnection) }
            Ok(WireAddress(address.host, socket.port))
        } catch (exception: IOException) {
            Err(WireFault.Unreachable(address, exception.message.orEmpty()))
        }

    /** Connects to [address] and greets; [expected] is the host that must answer, or null for any. */
    public suspend fun connect(
        address: WireAddress,
        expected: HostName?,
    ): Result<WireConnection, WireFault> {
        val timeout = Err(WireFault.Unreachable(address, "no answer within ${limits.connectTimeout}"))
        return withTimeoutOrNull(limits.connectTimeout) {
            open(address).flatMap { greet(it, expected) }
        } ?: timeout
    }

    /** Stops accepting connections; those that are open stay. */
    public fun stopListening() {
        listener?.close()
    }

    /** Frees the threads that watch the sockets. */
    public fun close() {
        stopListening()
        selector.close()
    }

    private suspend fun open(address: WireAddress): Result<Socket, WireFault> =
        try {
            val remote = InetSocketAddress(address.host, address.port)
            Ok(aSocket(selector).tcp().connect(remote) { noDelay = true })
        } catch (exception: IOException) {
            Err(WireFault.Unreachable(address, exception.message.orEmpty()))
        } catch (exception: UnresolvedAddressException) {
            Err(WireFault.Unreachable(address, "unresolved address ${exception.message.orEmpty()}"))
        }

    private suspend fun acceptLoop(
        socket: ServerSocket,
        onConnection: suspend (WireConnection) -> Unit,
    ) {
        while (scope.isActive) {
            val accepted = acceptOrNull(socket) ?: return
            scope.launch { serve(accepted, onConnection) }
        }
    }

    private suspend fun acceptOrNull(socket: ServerSocket): Socket? =
        try {
            socket.accept()
        } catch (_: IOException) {
            null
        }

    private suspend fun serve(
        socket: Socket,
        onConnection: suspend (WireConnection) -> Unit,
    ) {
        val greeted = withTimeoutOrNull(limits.connectTimeout) { greet(socket, expected = null) }
        if (greeted == null) {
            socket.close()
            return
        }
        greeted
            .onOk { onConnection(it) }
            .onErr { logger.info("connection refused: {}", it) }
    }

    private suspend fun greet(
        socket: Socket,
        expected: HostName?,
    ): Result<WireConnection, WireFault> {
        val frames = FrameChannel(socket, limits)
        val openedAt = now()
        return sendHello(frames)
            .flatMap { frames.read() }
            .flatMap { checkHello(it, expected) }
            .flatMap { peer -> Ok(WireConnection(peer, frames, limits, scope, now, openedAt).start()) }
            .onErr { frames.close() }
    }

    private suspend fun sendHello(frames: FrameChannel): Result<Unit, WireFault> =
        try {
            frames.write(hello)
            frames.flush()
            Ok(Unit)
        } catch (_: IOException) {
            Err(WireFault.Closed)
        }

    private fun checkHello(
        message: WireMessage,
        expected: HostName?,
    ): Result<Hello, WireFault> =
        when {
            message !is Hello -> {
                Err(WireFault.UnexpectedPeer(expected))
            }

            message.protocolVersion != PROTOCOL_VERSION -> {
                Err(WireFault.VersionMismatch(own = PROTOCOL_VERSION, other = message.protocolVersion))
            }

            expected != null && message.host != expected -> {
                Err(WireFault.UnexpectedPeer(expected))
            }

            else -> {
                Ok(message)
            }
        }

    public companion object {
        /** Version of the protocol that this code speaks. */
        public const val PROTOCOL_VERSION: Int = 1

        private val logger = LoggerFactory.getLogger(WireEndpoint::class.java)
    }
}
