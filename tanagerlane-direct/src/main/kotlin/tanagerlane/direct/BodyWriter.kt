package tanagerlane.direct

import io.vertx.core.Promise
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientRequest
import java.io.IOException

/**
 * Writes the body of a request in pieces, each after the one before.
 *
 * A connection is closed only after the bytes that were handed to it are written, so that the receiver of a request
 * that has ended gets at most one piece more.
 *
 * @param written completed with the last piece; fails with the connection
 * @param isClosed whether the connection is closed or being closed
 */
internal class BodyWriter(
    private val outgoing: HttpClientRequest,
    private val body: Buffer,
    private val written: Promise<Void>,
    private val isClosed: () -> Boolean,
) {
    /** Writes the body; returns at once. */
    fun write() {
        if (body.length() > PIECE_BYTES) {
            outgoing.putHeader("content-length", "${body.length()}")
        }
        writeFrom(0)
    }

    private fun writeFrom(start: Int) {
        val end = start + PIECE_BYTES
        if (end >= body.length()) {
            outgoing.end(body.slice(start, body.length())).onComplete(written)
            return
        }
        outgoing.write(body.slice(start, end)).onComplete { result ->
            when {
                result.failed() -> written.fail(result.cause())
                isClosed() -> written.fail(IOException("connection closed after $end bytes of ${body.length()}"))
                else -> writeFrom(end)
            }
        }
    }

    private companion object {
        /** Bytes of a body that are handed to the connection at once, 64 KiB. */
        const val PIECE_BYTES = 64 shl 10
    }
}
