package tanagerlane.entry

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.kotlin.coroutines.toReceiveChannel
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import tanagerlane.batch.MAXIMUM_ITEM_BYTES
import tanagerlane.model.Payload

/**
 * The lines of the body of [request], which must have been paused; no more than one line is held at a time.
 *
 * A line that is over the size of an item is passed on in pieces, each of them over that size.
 */
internal fun bodyLines(
    request: HttpServerRequest,
    vertx: Vertx,
): Flow<Payload> =
    flow {
        val splitter = LineSplitter()
        for (piece in request.toReceiveChannel(vertx)) {
            splitter.add(piece, this)
        }
        splitter.end(this)
    }

private class LineSplitter {
    private var pending = Buffer.buffer()

    suspend fun add(
        piece: Buffer,
        lines: FlowCollector<Payload>,
    ) {
        var start = 0
        for (place in 0 until piece.length()) {
            if (piece.getByte(place) == NEWLINE) {
                pending.appendBuffer(piece, start, place - start)
                end(lines)
                start = place + 1
            }
        }
        pending.appendBuffer(piece, start, piece.length() - start)
        if (pending.length() > MAXIMUM_ITEM_BYTES) {
            end(lines)
        }
    }

    suspend fun end(lines: FlowCollector<Payload>) {
        val line = Payload.of(pending.bytes)
        pending = Buffer.buffer()
        lines.emit(line)
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
    }
}
