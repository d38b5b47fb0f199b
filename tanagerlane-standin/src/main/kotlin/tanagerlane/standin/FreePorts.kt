package tanagerlane.standin

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.channels.FileChannel
import java.nio.channels.FileLock
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * Ports of the loopback address for processes that are about to start.
 *
 * They lie below those that the system gives to outgoing connections, and each process that runs tests has a range of
 * its own, which it holds by a lock on a file, so that two test runs at once never give out the same port.
 */
public object FreePorts {
    private const val FIRST_PORT = 20_000
    private const val PORTS_OF_A_PROCESS = 1_000
    private const val PROCESSES = 12
    private val range = reserveRange()
    private val given: MutableSet<Int> = ConcurrentHashMap.newKeySet()

    /** Returns a port that is free and was not given out before, since its taker may not listen on it yet. */
    public fun next(): Int {
        check(given.size < PORTS_OF_A_PROCESS) { "all $PORTS_OF_A_PROCESS ports from ${range.first} are given out" }
        return generateSequence { portsOf(range).random(Random.Default) }.first { isFree(it) && given.add(it) }
    }

    /** Returns the first range that no other process holds. */
    private fun reserveRange(): ReservedRange =
        (0 until PROCESSES)
            .asSequence()
            .map { FIRST_PORT + it * PORTS_OF_A_PROCESS }
            .firstNotNullOfOrNull { first -> lock(first)?.let { ReservedRange(first, it) } }
            ?: error("all $PROCESSES ranges of ports from $FIRST_PORT are taken")

    private fun lock(first: Int): FileLock? {
        val file = Path.of(System.getProperty("java.io.tmpdir"), "tanagerlane-ports-$first.lock")
        return FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE).tryLock()
    }

    private fun portsOf(range: ReservedRange): IntRange = range.first until range.first + PORTS_OF_A_PROCESS

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }

    /** A range of ports from [first]; [lock] is held until this process ends. */
    private data class ReservedRange(
        val first: Int,
        val lock: FileLock,
    )
}
