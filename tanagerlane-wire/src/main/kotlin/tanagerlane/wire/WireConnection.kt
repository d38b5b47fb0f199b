package tanagerlane.wire

import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import tanagerlane.message.Hello
import tanagerlane.message.Ping
import tanagerlane.message.Pong
import tanagerlane.message.WireMessage
import java.io.IOException
import kotlin.time.Instant

/**
 * An open connection to another process, after the greeting.
 *
 * Pings keep it under watch: when nothing comes for [WireLimits.silence] it closes with [WireFault.Silent], so that
 * its user makes a new one.
 *
 * @property peer greeting of the other side
 */
public class WireConnection internal constructor(
    public val peer: Hello,
    private val frames: FrameChannel,
    private val limits: WireLimits,
    parent: CoroutineScope,
    private val now: () -> Instant,
) {
    private val job = Job(parent.coroutineContext[Job])
    private val scope = CoroutineScope(parent.coroutineContext + job)
    private val outgoing = Channel<WireMessage>(limits.outgoingMessages)
    private val received = Channel<WireMessage>(limits.outgoingMessages)

    @Volatile
    private var lastReceived: Instant = now()

    /** Why the connection ended, or null while it is open. */
    @Volatile
    public var fault: WireFault? = null
        private set

    /** Messages from the other side, except pings; closed when the connection ends. */
    public val incoming: ReceiveChannel<WireMessage> get() = received

    /** Whether the connection is open. */
    public val isOpen: Boolean get() = fault == null

    internal fun start(): WireConnection {
        scope.launch { writeLoop() }
        scope.launch { readLoop() }
        scope.launch { pingLoop() }
        return this
    }

    /** Sends [message], waiting while too many wait already; returns false when the connection has ended. */
    public suspend fun send(message: WireMessage): Boolean =
        try {
            outgoing.send(message)
            true
        } catch (_: ClosedSendChannelException) {
            false
        }

    /** Sends [message] without waiting; returns false when it can't be queued. */
    public fun trySend(message: WireMessage): Boolean = outgoing.trySend(message).isSuccess

    /** Ends the connection; messages that wait are dropped. */
    public fun close() {
        close(WireFault.Closed)
    }

    private fun close(reason: WireFault) {
        synchronized(this) {
            if (fault != null) {
                return
            }
            fault = reason
        }
        outgoing.close()
        received.close()
        frames.close()
        scope.cancel()
    }

    private suspend fun writeLoop() {
        try {
            for (message in outgoing) {
                frames.write(message)
                writeQueued()
                frames.flush()
            }
        } catch (_: IOException) {
            close(WireFault.Closed)
        }
    }

    private suspend fun writeQueued() {
        var next = outgoing.tryReceive().getOrNull()
        while (next != null) {
            frames.write(next)
            next = outgoing.tryReceive().getOrNull()
        }
    }

    private suspend fun readLoop() {
        while (scope.isActive && isOpen) {
            frames
                .read()
                .onOk { receive(it) }
                .onErr { close(it) }
        }
    }

    private suspend fun receive(message: WireMessage) {
        lastReceived = now()
        when (message) {
            is Ping -> trySend(Pong(message.nonce))
            is Pong -> Unit
            else -> deliver(message)
        }
    }

    private suspend fun deliver(message: WireMessage) {
        try {
            received.send(message)
        } catch (_: ClosedSendChannelException) {
            close(WireFault.Closed)
        }
    }

    private suspend fun pingLoop() {
        var nonce = 0L
        while (isOpen) {
            delay(limits.pingInterval)
            nonce += 1
            trySend(Ping(nonce))
            if (now() - lastReceived > limits.silence) {
                close(WireFault.Silent)
            }
        }
    }
}
