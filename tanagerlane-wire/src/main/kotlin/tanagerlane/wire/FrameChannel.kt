package tanagerlane.wire

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.io.EOFException
import tanagerlane.message.WireMessage
import java.io.IOException

/** Length-prefixed messages on one socket. */
internal class FrameChannel(
    private val socket: Socket,
    private val limits: WireLimits,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    suspend fun write(message: WireMessage) {
        val bytes = WireCodec.encode(message)
        output.writeInt(bytes.size)
        output.writeByteArray(bytes)
    }

    suspend fun flush() {
        output.flush()
    }

    suspend fun read(): Result<WireMessage, WireFault> =
        try {
            readFrame()
        } catch (_: EOFException) {
            Err(WireFault.Closed)
        } catch (_: IOException) {
            Err(WireFault.Closed)
        }

    fun close() {
        socket.close()
    }

    private suspend fun readFrame(): Result<WireMessage, WireFault> {
        val length = input.readInt()
        if (length !in 0..limits.maximumFrameBytes) {
            return Err(WireFault.FrameLength(length, limits.maximumFrameBytes))
        }
        return WireCodec.decode(input.readByteArray(length))
    }
}
