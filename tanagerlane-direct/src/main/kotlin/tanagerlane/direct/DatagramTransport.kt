package tanagerlane.direct

import com.github.michaelbull.result.fold
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.datagram.DatagramSocket
import io.vertx.kotlin.coroutines.coAwait
import org.slf4j.LoggerFactory
import tanagerlane.message.WireMessage
import tanagerlane.wire.WireAddress
import tanagerlane.wire.WireCodec

/**
 * Sends messages that may be lost, each in one datagram.
 *
 * A connection for each pair of processes would cost a thread's wake-up for each report; a lost report is replaced by
 * the next one.
 */
internal class DatagramTransport(
    vertx: Vertx,
    private val onMessage: (sender: WireAddress, WireMessage) -> Unit,
) {
    private val socket: DatagramSocket = vertx.createDatagramSocket()

    suspend fun listen(address: WireAddress) {
        socket.handler { packet ->
            onPacket(WireAddress(packet.sender().host(), packet.sender().port()), packet.data())
        }
        socket.exceptionHandler { logger.debug("datagram socket failed cause={}", it.toString()) }
        socket.listen(address.port, address.host).coAwait()
    }

    /** Sends [message] to each of [receivers]; returns false when it is too long for a datagram. */
    fun send(
        message: WireMessage,
        receivers: Collection<WireAddress>,
    ): Boolean {
        val bytes = WireCodec.encode(message)
        if (bytes.size > MAXIMUM_BYTES) {
            return false
        }
        val buffer = Buffer.buffer(bytes)
        receivers.forEach { socket.send(buffer, it.port, it.host) }
        return true
    }

    private fun onPacket(
        sender: WireAddress,
        data: Buffer,
    ) {
        WireCodec.decode(data.bytes).fold(
            success = { onMessage(sender, it) },
            failure = { logger.warn("datagram not read bytes={} cause={}", data.length(), it) },
        )
    }

    private companion object {
        /** A receiver's buffer holds 2048 bytes, and the rest of a longer datagram is lost. */
        const val MAXIMUM_BYTES = 2_000
        val logger = LoggerFactory.getLogger(DatagramTransport::class.java)
    }
}
