package tanagerlane.direct

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.HttpRequest
import tanagerlane.callers.CallerBudget
import tanagerlane.callers.CallerWait
import tanagerlane.callers.ConnectionEnd
import tanagerlane.callers.ConnectionLimits
import tanagerlane.callers.ProgressLease
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Passes the bytes of a caller's connection to the HTTP codec: one head at a time, its body once that is admitted, and
 * the next head once the answer was written to the socket. A bounded number of bytes waits here; it is the first handler
 * of the pipeline, and runs on the event loop alone.
 *
 * @param limits limits of the connection, asked for each request
 * @param onEnded called when this gate ends the connection
 * @param onClosed called once the connection has closed
 */
internal class CallerGate(
    private val limits: () -> ConnectionLimits,
    private val budget: CallerBudget,
    private val now: () -> Instant,
    private val onEnded: (CallerGate, ConnectionEnd) -> Unit,
    private val onClosed: (CallerGate) -> Unit,
) : ChannelDuplexHandler() {
    private lateinit var context: ChannelHandlerContext
    private lateinit var share: CallerBudget.Share
    private val unreadAnswer = UnreadAnswer(limits)
    private val held = HeldBytes()
    private var head = HeadScanner()
    private var phase = GatePhase.IDLE
    private var phaseBegan = now()
    private var lease: ProgressLease? = null
    private var isReadDeferred = false
    private var isDelivering = false

    /** Requests whose answers have not been written to the socket; more than one only if a chunk came with them. */
    private var openRequests = 0

    /** Bytes that arrived after the last answer. */
    private var closingBytes = 0L

    /** Time at which the connection was opened. */
    val openedAt: Instant = now()

    /** Whether the caller has sent nothing yet. */
    var isUnused = true
        private set

    /** Body of the current request. */
    var body = RequestBody(0L)
        private set

    /** Whether a whole request may have been read whose answer has not been written to the socket. */
    val hasOpenRequest: Boolean get() = openRequests > 0 || phase == GatePhase.RUNNING

    /** Whether the connection has to close after an answer that is given now, as the rest of the body is too long. */
    val closesAfterAnswer: Boolean get() = phase.isBodyMissing && !limits().drains(body.missingBytes)

    /** Returns whether [bytes] of a body can be held, which may end other connections that make no progress. */
    fun makeRoom(bytes: Long): Boolean = budget.makeRoom(ConnectionCost.ofBody(bytes), share, now())

    /** Lets the body of the current request arrive. */
    fun admitBody() {
        if (phase == GatePhase.HELD) {
            enter(GatePhase.BODY, limits().bodyLease(now()))
            deliver()
        }
    }

    /** Gives back what was kept of a body that is of no use any longer, and reads the rest of it only to a bound. */
    fun discardBody() {
        body.discard()
        charge(hasProgressed = false)
        admitBody()
    }

    /** Ends the connection if its time has run out. */
    fun checkTime(now: Instant) {
        if (unreadAnswer.update(context.channel().unsafe().outboundBuffer(), now)) charge(hasProgressed = true)
        when {
            unreadAnswer.isExpired(now) -> {
                end(ConnectionEnd.SLOW_READER)
            }

            phase == GatePhase.IDLE && now - phaseBegan >= limits().idleTimeout -> {
                end(ConnectionEnd.IDLE)
            }

            phase == GatePhase.CLOSING && now - phaseBegan >= CLOSING_TIME -> {
                context.close()
            }

            lease?.isExpired(now) == true -> {
                end(if (phase == GatePhase.HEAD) ConnectionEnd.SLOW_HEAD else ConnectionEnd.SLOW_BODY)
            }
        }
    }

    /** Closes the connection because of [cause]. */
    fun end(cause: ConnectionEnd) {
        if (context.channel().isActive) {
            onEnded(this, cause)
            context.close()
        }
    }

    /** Called when the codec has decoded the head of [request]. */
    fun onRequest(request: HttpRequest) {
        openRequests++
        body = RequestBody.of(request)
        enter(GatePhase.HELD)
    }

    /** Called when the codec has decoded the end of a request. */
    fun onRequestEnd() {
        if (openRequests == 0) beginNext() else enter(GatePhase.RUNNING)
    }

    /** Called when the end of an answer was written to the socket. */
    fun onAnswerWritten() {
        openRequests--
        when {
            phase == GatePhase.CLOSING || openRequests > 0 -> Unit
            phase == GatePhase.RUNNING -> beginNext()
            closesAfterAnswer -> beginClosing()
            else -> discardBody()
        }
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        share = budget.open(now(), ::callerWait) { end(ConnectionEnd.OVER_BUDGET) }
        charge(hasProgressed = false)
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        message as ByteBuf
        isUnused = false
        if (phase == GatePhase.CLOSING) {
            return discard(message)
        }
        held.add(message)
        deliver()
    }

    override fun read(context: ChannelHandlerContext) {
        isReadDeferred = held.isFull
        if (isReadDeferred) context.channel().config().isAutoRead = false else context.read()
    }

    override fun write(
        context: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        val bytes = (message as? ByteBuf)?.readableBytes()?.toLong() ?: 0L
        // The caller can't read before anything is written, however long the request has run.
        val hasReadAll = unreadAnswer.bytes == 0L
        unreadAnswer.written(bytes, now())
        charge(hasProgressed = hasReadAll)
        val written = promise.unvoid()
        written.addListener {
            unreadAnswer.sent(bytes)
            charge(hasProgressed = true)
        }
        context.write(message, written)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        held.release()
        share.close()
        onClosed(this)
        super.channelInactive(context)
    }

    private fun deliver() {
        if (isDelivering) return
        isDelivering = true
        var hasDelivered = false
        try {
            while (context.channel().isActive) {
                val slice = nextSlice() ?: break
                hasDelivered = true
                context.fireChannelRead(slice)
            }
        } finally {
            isDelivering = false
        }
        if (hasDelivered) context.fireChannelReadComplete()
        charge(hasProgressed = hasDelivered)
        resumeReading()
    }

    private fun resumeReading() {
        if (isReadDeferred && !held.isFull) context.channel().config().isAutoRead = true
    }

    /** Returns the next bytes for the codec, or null if it must not get any now. */
    private fun nextSlice(): ByteBuf? {
        val available = held.firstBytes ?: return null
        return when (phase) {
            GatePhase.IDLE, GatePhase.HEAD -> nextOfHead(available)
            GatePhase.BODY -> nextOfBody(available.readableBytes())
            else -> null
        }
    }

    private fun nextOfHead(available: ByteBuf): ByteBuf? {
        val count = head.scan(available)
        val limits = limits()
        if (head.bytes > limits.maximumHeadBytes || head.lines > limits.maximumFields) {
            refuseHead()
            return null
        }
        if (phase == GatePhase.IDLE && !head.isBlank) {
            enter(GatePhase.HEAD, limits.headLease(now()))
        }
        lease = lease?.afterProgress(count.toLong(), now())
        return held.take(count)
    }

    private fun nextOfBody(available: Int): ByteBuf? {
        if (body.isDiscardedTooLong && openRequests == 0) {
            beginClosing()
            return null
        }
        val count = body.next(available)
        lease = lease?.afterProgress(count.toLong(), now())
        return held.take(count)
    }

    private fun refuseHead() {
        onEnded(this, ConnectionEnd.LARGE_HEAD)
        // Behind the answer to an earlier request it is not in the socket yet, and would be lost with the output.
        val written = context.writeAndFlush(Unpooled.wrappedBuffer(LARGE_HEAD_ANSWER))
        beginClosing(afterWrite = written)
    }

    private fun beginNext() {
        body.discard()
        head = HeadScanner()
        enter(GatePhase.IDLE)
        deliver()
    }

    /** Ends the answers, and reads on for a while, since a connection that is closed with unread bytes is reset. */
    private fun beginClosing(afterWrite: ChannelFuture = context.newSucceededFuture()) {
        enter(GatePhase.CLOSING)
        body.discard()
        held.release()
        afterWrite.addListener { (context.channel() as? SocketChannel)?.shutdownOutput() }
        charge(hasProgressed = false)
        resumeReading()
    }

    private fun discard(bytes: ByteBuf) {
        closingBytes += bytes.readableBytes()
        bytes.release()
        if (closingBytes > MAXIMUM_CLOSING_BYTES) context.close()
    }

    private fun enter(
        next: GatePhase,
        lease: ProgressLease? = null,
    ) {
        phase = next
        phaseBegan = now()
        this.lease = lease
    }

    private fun callerWait(): CallerWait = if (unreadAnswer.bytes > 0) CallerWait.READING else phase.callerWait

    private fun charge(hasProgressed: Boolean) {
        val bytes = ConnectionCost.of(head, body) + held.capacity + unreadAnswer.bytes
        share.update(bytes, hasProgressed, now())
    }

    private companion object {
        const val MAXIMUM_CLOSING_BYTES = 1L shl 20
        val CLOSING_TIME = 2.seconds
        val LARGE_HEAD_ANSWER =
            "HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
                .toByteArray()
    }
}
