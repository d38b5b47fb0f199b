package tanagerlane.direct

import io.netty.buffer.ByteBuf

/** Finds the end of the head of a request, and counts its bytes and lines; it does not check its syntax. */
internal class HeadScanner {
    private var hasText = false

    /** Bytes of the head so far. */
    var bytes = 0
        private set

    /** Lines of the head so far that are not empty. */
    var lines = 0
        private set

    /** Whether only line ends have come so far, which some callers send after a body. */
    val isBlank: Boolean get() = lines == 0 && !hasText

    /** Returns how many bytes of [buffer] belong to the head; the rest follows the end of the head. */
    fun scan(buffer: ByteBuf): Int {
        val start = buffer.readerIndex()
        for (index in start until buffer.writerIndex()) {
            bytes++
            val byte = buffer.getByte(index)
            if (byte == LINE_FEED) {
                if (!hasText && lines > 0) return index + 1 - start
                if (hasText) lines++
                hasText = false
            } else if (byte != CARRIAGE_RETURN) {
                hasText = true
            }
        }
        return buffer.readableBytes()
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
