package tanagerlane.scenario

import java.net.ConnectException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Spreads requests over the entries whose health was good when it last looked, as the platform's balancer does. */
class Balancer(
    private val entries: List<DaemonNode>,
) : AutoCloseable {
    private val turn = AtomicInteger()

    @Volatile
    private var healthy: List<Int> = entries.indices.toList()

    @Volatile
    private var isClosed = false

    private val watch = thread(isDaemon = true) { watchHealth() }

    /**
     * Sends by one of [callers], of which there is one for each entry.
     *
     * Where the connection is refused, so that nothing was sent, the next entry is tried.
     */
    fun send(
        callers: List<Caller>,
        request: (Caller) -> Caller.Answer,
    ): Caller.Answer {
        val first = turn.incrementAndGet()
        val choice = healthy.ifEmpty { entries.indices.toList() }
        repeat(choice.size - 1) { offset ->
            try {
                return request(callers[choice[(first + offset) % choice.size]])
            } catch (_: ConnectException) {
                // Nothing was sent.
            }
        }
        return request(callers[choice[(first + choice.size - 1) % choice.size]])
    }

    override fun close() {
        isClosed = true
        watch.join()
    }

    private fun watchHealth() {
        while (!isClosed) {
            healthy = entries.indices.filter { entries[it].isHealthy }
            Thread.sleep(LOOK_MILLISECONDS)
        }
    }

    private companion object {
        const val LOOK_MILLISECONDS = 200L
    }
}
