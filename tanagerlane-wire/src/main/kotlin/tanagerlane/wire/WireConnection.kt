package tanagerlane.wire

import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import tanagerlane.attempts.LivenessDecision
import tanagerlane.attempts.SessionId
import tanagerlane.attempts.SilenceDetector
import tanagerlane.message.Hello
import tanagerlane.message.Ping
import tanagerlane.message.Pong
import tanagerlane.message.WireMessage
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * An open connection to another process, after the greeting.
 *
 * Pings keep it under watch: when nothing comes for the silence bound it closes with [WireFault.Silent], so that
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
    openedAt: Instant,
) {
    /** Number of this connection on this host. */
    public val session: SessionId = SessionId(sessions.incrementAndGet())

    private val job = Job(parent.coroutineContext[Job])
    private val scope = CoroutineScope(parent.coroutineContext + job)
    private val outgoing = Channel<WireMessage>(limits.outgoingMessages)
    private val received = Channel<WireMessage>(limits.outgoingMessages)

    private val detector = SilenceDetector(openedAt, limits.liveness)

    /** Whether a message waits for this process to take it, which is no silence of the other side. */
    @Volatile
    private var isDelivering = false

    /** Why the connection ended, or null while it is open. */
    @Volatile
    public var fault: WireFault? = null
        private set

    /** When this host sent the newest greeting or ping that the other side has answered. */
    public val freshAt: Instant get() = synchronized(detector) { detector.answeredProbeSentAt }

    /** Messages from the other side, except pings; closed when the connection ends. */
    public val incoming: ReceiveChannel<WireMessage> get() = received

    /** Whether the connection is open. */
    public val isOpen: Boolean get() = fault == null

    internal fun start(): WireConnection {
        scope.launch { writeLoop() }
        scope.launch { readLoop() }
        scope.launch { watchLoop() }
        return this
    }

    /** Sends [message], waiting while too many wait already; returns false when the connection has ended. */
    public suspend fun send(message: WireMessage): Boolean =
        try {
            outgoing.send(message)
            true
        } catch (_: ClosedSendChannelException) {
            false
        } catch (_: CancellationException) {
            currentCoroutineContext().ensureActive()
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
        outgoing.cancel()
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
        synchronized(detector) { detector.received(now()) }
        when (message) {
            is Ping -> trySend(Pong(message.nonce))
            is Pong -> synchronized(detector) { detector.pongReceived(message.nonce, now()) }
            else -> deliver(message)
        }
    }

    private suspend fun deliver(message: WireMessage) {
        isDelivering = true
        try {
            received.send(message)
        } catch (_: ClosedSendChannelException) {
            close(WireFault.Closed)
        } finally {
            isDelivering = false
        }
    }

    private suspend fun watchLoop() {
        while (isOpen) {
            val decidedAt = now()
            if (isDelivering) {
                synchronized(detector) { detector.received(decidedAt) }
            }
            when (val decision = synchronized(detector) { detector.decide(decidedAt) }) {
                is LivenessDecision.Replace -> close(WireFault.Silent)
                is LivenessDecision.SendPing -> ping(decision.nonce, decision.until - decidedAt)
                is LivenessDecision.Wait -> delay(decision.until - decidedAt)
            }
        }
    }

    private suspend fun ping(
        nonce: Long,
        pause: Duration,
    ) {
        trySend(Ping(nonce))
        delay(pause)
    }

    private companion object {
        val sessions = AtomicLong()
    }
}
