package tanagerlane.direct

import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import tanagerlane.callers.ConnectionLimits

/**
 * How much of the body of a request has arrived.
 *
 * @property declaredBytes size of the body in bytes, or null if it is chunked
 */
internal class RequestBody(
    val declaredBytes: Long?,
) {
    private var discardedBytes = 0L

    /** Bytes that have not arrived, or null for a chunked body. */
    var missingBytes: Long? = declaredBytes
        private set

    /** Bytes that arrived and are kept, without the framing of chunks. */
    var keptBytes = 0L
        private set

    /** Whether nothing of the body is kept. */
    var isDiscarded = false
        private set

    /** Whether more was discarded than a refused body may have. */
    val isDiscardedTooLong: Boolean get() = discardedBytes > ConnectionLimits.MAXIMUM_DRAINED_BYTES

    /** Records that the next piece is passed on, of which [available] bytes are there, and returns its size in bytes. */
    fun next(available: Int): Int {
        val count = minOf(available.toLong(), missingBytes ?: MAXIMUM_CHUNKED_BYTES)
        missingBytes = missingBytes?.minus(count)
        if (isDiscarded) discardedBytes += count
        return count.toInt()
    }

    /** Records that [count] bytes were decoded. */
    fun arrived(count: Int) {
        if (!isDiscarded) keptBytes += count
    }

    /** Gives back what was kept. */
    fun discard() {
        isDiscarded = true
        keptBytes = 0
    }

    companion object {
        /** Size of a piece of a chunked body, in which the end of the body is not known in advance. */
        private const val MAXIMUM_CHUNKED_BYTES = 4_096L

        /** Returns the body of [request], of which nothing has arrived. */
        fun of(request: HttpRequest): RequestBody =
            when {
                request.decoderResult().isFailure -> RequestBody(0L)
                HttpUtil.isTransferEncodingChunked(request) -> RequestBody(null)
                else -> RequestBody(HttpUtil.getContentLength(request, 0L))
            }
    }
}
