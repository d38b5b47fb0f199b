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
 * Splits the body of [request], which must be paused, into lines; at most one line is buffered at a time.
 *
 * A line of more than [MAXIMUM_ITEM_BYTES] is emitted in several parts, each of them above that size.
 */
internal fun bodyLines(
    request: HttpServerRequest,
    vertx: Vertx,
): Flow<Payload> =
    flow {
        val splitter = LineSplitter()
        for (chunk in request.toReceiveChannel(vertx)) {
            splitter.add(chunk, this)
        }
        splitter.emitPending(this)
    }

private class LineSplitter {
    private var pending = Buffer.buffer()

    suspend fun add(
        chunk: Buffer,
        lines: FlowCollector<Payload>,
    ) {
        var start = 0
        for (index in 0 until chunk.length()) {
            if (chunk.getByte(index) == NEWLINE) {
                pending.appendBuffer(chunk, start, index - start)
                emitPending(lines)
                start = index + 1
            }
        }
        pending.appendBuffer(chunk, start, chunk.length() - start)
        if (pending.length() > MAXIMUM_ITEM_BYTES) {
            emitPending(lines)
        }
    }

    suspend fun emitPending(lines: FlowCollector<Payload>) {
        val line = Payload.of(pending.bytes)
        pending = Buffer.buffer()
        lines.emit(line)
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
    }
}
