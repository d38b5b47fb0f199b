package tanagerlane.direct

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelOutboundBuffer
import tanagerlane.callers.ConnectionLimits
import tanagerlane.callers.ProgressLease
import kotlin.time.Instant

/** What was written to a connection and is not in the socket yet, with the time that the caller has left to read it. */
internal class UnreadAnswer(
    private val limits: () -> ConnectionLimits,
) {
    private var sentBytes = 0L
    private var lastSentBytes = 0L
    private var lastCurrentBytes = 0
    private var lease: ProgressLease? = null

    /** Bytes that wait for the caller. */
    var bytes = 0L
        private set

    /** Records that [count] bytes were written. */
    fun written(
        count: Long,
        now: Instant,
    ) {
        bytes += count
        if (lease == null) lease = limits().answerLease(now)
    }

    /** Records that a piece of [count] bytes has gone to the socket. */
    fun sent(count: Long) {
        bytes -= count
        sentBytes += count
        if (bytes == 0L) lease = null
    }

    /**
     * Extends the time by what has gone to the socket since the last call; the first piece of [buffer] may have begun to.
     *
     * @return whether anything has
     */
    fun update(
        buffer: ChannelOutboundBuffer?,
        now: Instant,
    ): Boolean {
        val currentBytes = (buffer?.current() as? ByteBuf)?.readableBytes() ?: 0
        val progress =
            if (sentBytes != lastSentBytes) sentBytes - lastSentBytes else (lastCurrentBytes - currentBytes).toLong()
        lastSentBytes = sentBytes
        lastCurrentBytes = currentBytes
        lease = lease?.afterProgress(progress.coerceAtLeast(0), now)
        return progress > 0
    }

    /** Whether the caller has made too little progress. */
    fun isExpired(now: Instant): Boolean = lease?.isExpired(now) == true
}
