package tanagerlane.runtime

import io.vertx.core.Future
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientResponse
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import tanagerlane.concurrency.receiveCatchingWithin
import kotlin.time.Duration

/**
 * The pieces of an answer's body, as far as they have come and were not taken.
 *
 * Over [MAXIMUM_HELD_BYTES] the connection is not read until half of them were taken, so a sender without end waits at
 * its own socket. Safe for one thread that receives beside the event loop that brings the pieces.
 *
 * @param onArrived called with the size in bytes of each piece that arrives
 */
public class AnswerPieces(
    private val onArrived: (bytes: Int) -> Unit = {},
) {
    private val pieces = Channel<Buffer>(Channel.UNLIMITED)
    private val lock = Any()
    private var heldBytes = 0
    private var paused: HttpClientResponse? = null

    /**
     * Takes the body of [response], the answer to a request that is [written].
     *
     * [onEnd] runs at an end that may be that of the answer, and returns what is wrong with it, or null.
     */
    public fun listen(
        response: HttpClientResponse,
        written: Future<Void>,
        onEnd: () -> Throwable? = { null },
    ) {
        response.handler { add(response, it) }
        response.exceptionHandler { pieces.close(it) }
        AnswerFraming.onBodyEnd(response, written) { fault -> pieces.close(fault ?: onEnd()) }
    }

    /** Drops the rest of the body; receivers get [cause] after the pieces that have come. */
    public fun end(cause: Throwable) {
        pieces.close(cause)
    }

    /** Waits for the next piece; closed at the end of the body, with a cause where it broke off. */
    public suspend fun receiveCatching(): ChannelResult<Buffer> = taken(pieces.receiveCatching())

    /** Waits for the next piece, or returns null if neither a piece nor the end of the body comes within [timeout]. */
    public suspend fun receiveWithin(timeout: Duration): ChannelResult<Buffer>? =
        pieces.receiveCatchingWithin(timeout)?.let(::taken)

    /** Waits for the next piece and returns it, or null at the end of the body; throws the cause where it broke off. */
    public suspend fun next(): Buffer? {
        val result = receiveCatching()
        result.exceptionOrNull()?.let { throw it }
        return result.getOrNull()
    }

    /** Returns the next piece, or a failure when there is none yet. */
    public fun tryReceive(): ChannelResult<Buffer> = taken(pieces.tryReceive())

    private fun add(
        response: HttpClientResponse,
        piece: Buffer,
    ) {
        synchronized(lock) {
            heldBytes += sizeOf(piece)
            if (heldBytes > MAXIMUM_HELD_BYTES && paused == null) {
                paused = response
                response.pause()
            }
        }
        onArrived(piece.length())
        pieces.trySend(piece)
    }

    private fun sizeOf(piece: Buffer): Int = piece.length() + PIECE_OVERHEAD_BYTES

    private fun taken(result: ChannelResult<Buffer>): ChannelResult<Buffer> {
        val piece = result.getOrNull() ?: return result
        synchronized(lock) {
            heldBytes -= sizeOf(piece)
            if (heldBytes <= MAXIMUM_HELD_BYTES / 2) {
                paused?.let {
                    paused = null
                    it.resume()
                }
            }
        }
        return result
    }

    public companion object {
        /** Bytes of a body that wait to be taken, 256 KiB: some reads of a socket. */
        public const val MAXIMUM_HELD_BYTES: Int = 256 shl 10

        /** Memory of a piece in addition to its bytes; small chunks take up more than they carry. */
        private const val PIECE_OVERHEAD_BYTES = 128
    }
}
