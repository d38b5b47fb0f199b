package tanagerlane.direct

import io.netty.buffer.ByteBuf

/** Bytes that were read from a connection and not passed on yet. */
internal class HeldBytes {
    private val buffers = ArrayDeque<ByteBuf>()

    val isEmpty: Boolean get() = buffers.isEmpty()

    /** Memory that the bytes occupy. */
    val capacity: Long get() = buffers.sumOf { it.capacity().toLong() }

    /** Whether no more should be read; a caller that leaves is not noticed then until bytes were taken. */
    val isFull: Boolean get() = capacity >= MAXIMUM_BYTES

    /** The oldest bytes, which are not removed, or null if there are none. */
    val firstBytes: ByteBuf? get() = buffers.firstOrNull()

    /** Adds [buffer], or releases it if it is empty. */
    fun add(buffer: ByteBuf) {
        if (buffer.isReadable) buffers += buffer else buffer.release()
    }

    /** Removes the first [count] bytes, which [firstBytes] contains, and returns them. */
    fun take(count: Int): ByteBuf {
        val first = buffers.first()
        return if (count == first.readableBytes()) buffers.removeFirst() else first.readRetainedSlice(count)
    }

    /** Releases all bytes. */
    fun release() {
        buffers.forEach { it.release() }
        buffers.clear()
    }

    private companion object {
        /** Four reads; a body or a next request of ordinary size fits, so that its caller is seen to leave. */
        const val MAXIMUM_BYTES = 64 shl 10
    }
}
