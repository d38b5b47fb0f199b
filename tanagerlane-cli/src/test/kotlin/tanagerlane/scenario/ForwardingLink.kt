package tanagerlane.scenario

import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Forwards connections to [port] on the loopback address and can cut or silence those that are open. */
class ForwardingLink(
    private val port: Int,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val pairs = CopyOnWriteArrayList<Pair>()

    val address: String get() = "127.0.0.1:${listener.localPort}"

    /** Connections taken so far. */
    val accepted: Int get() = pairs.size

    init {
        thread(isDaemon = true) { acceptLoop() }
    }

    /** Swallows for good what the open connections carry, both ways; later connections work. */
    fun silence() {
        pairs.forEach { it.isSilent = true }
    }

    /** Closes the open connections. */
    fun cut() {
        pairs.forEach { it.close() }
    }

    override fun close() {
        listener.close()
        cut()
    }

    private fun acceptLoop() {
        try {
            while (true) {
                val near = listener.accept()
                val far = Socket("127.0.0.1", port)
                pairs += Pair(near, far).apply { start() }
            }
        } catch (_: IOException) {
            listener.close()
        }
    }

    private class Pair(
        private val near: Socket,
        private val far: Socket,
    ) : AutoCloseable {
        @Volatile
        var isSilent = false

        fun start() {
            thread(isDaemon = true) { pump(near, far) }
            thread(isDaemon = true) { pump(far, near) }
        }

        override fun close() {
            near.close()
            far.close()
        }

        private fun pump(
            from: Socket,
            to: Socket,
        ) {
            try {
                copy(from.getInputStream(), to)
            } catch (_: IOException) {
                // The other direction closes too.
            }
            if (!isSilent) {
                close()
            }
        }

        private fun copy(
            input: InputStream,
            to: Socket,
        ) {
            val buffer = ByteArray(BUFFER_BYTES)
            while (true) {
                val count = input.read(buffer)
                if (count < 0) return
                if (!isSilent) to.getOutputStream().write(buffer, 0, count)
            }
        }
    }

    private companion object {
        const val BACKLOG = 64
        const val BUFFER_BYTES = 1 shl 16
    }
}
