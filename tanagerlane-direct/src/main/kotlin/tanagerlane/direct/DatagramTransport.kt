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
 * Sends and receives messages whose loss is tolerated, each in one UDP datagram.
 *
 * Sending reports over a connection for each pair of processes would wake up a thread for each report. A lost report is
 * superseded by the next one.
 *
 * @param onMessage called with each decoded message and the address of its sender
 */
internal class DatagramTransport(
    vertx: Vertx,
    private val onMessage: (sender: WireAddress, WireMessage) -> Unit,
) {
    private val socket: DatagramSocket = vertx.createDatagramSocket()

    /** Binds the socket to [address] and starts to receive datagrams. */
    suspend fun listen(address: WireAddress) {
        socket.handler { packet ->
            onPacket(WireAddress(packet.sender().host(), packet.sender().port()), packet.data())
        }
        socket.exceptionHandler { logger.debug("datagram socket failed cause={}", it.toString()) }
        socket.listen(address.port, address.host).coAwait()
    }

    /**
     * Sends [message] to each of [receivers].
     *
     * @return false if the encoded message is too long for a datagram; nothing is sent then
     */
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
            failure = { logger.warn("datagram not decoded bytes={} cause={}", data.length(), it) },
        )
    }

    private companion object {
        /** Maximum size of a datagram. A receiver's buffer holds 2048 bytes; the rest of a longer datagram is lost. */
        const val MAXIMUM_BYTES = 2_000
        val logger = LoggerFactory.getLogger(DatagramTransport::class.java)
    }
}
