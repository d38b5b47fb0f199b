package tanagerlane.direct

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Connections that wait for their next request, the one used last first.
 *
 * @param later runs an action on the same thread once a time has passed
 */
internal class IdleConnections(
    private val now: () -> Instant,
    private val later: (time: Duration, action: () -> Unit) -> Unit,
) {
    private val byAddress = HashMap<String, ArrayDeque<IdleConnection>>()

    /**
     * Returns a connection to [address] for [request], or null.
     *
     * It is one that the target has not closed for being idle and that did not carry the same request before, since a
     * second answer to that could not be told from the answer to come.
     */
    fun take(
        address: String,
        request: String,
    ): TargetConnection? {
        val waiting = byAddress[address] ?: return null
        while (true) {
            val last = waiting.removeLastOrNull() ?: return null
            if (!last.connection.isClosed && last.connection.lastRequest != request && now() < last.usableUntil) {
                return last.connection
            }
            last.connection.close()
        }
    }

    /**
     * Keeps [connection] for half of [keepTime], the time after which the target closes it, and then closes it.
     *
     * Bytes that come meanwhile belong to no request; where they don't end the connection at once, its time does.
     */
    fun put(
        connection: TargetConnection,
        keepTime: Duration?,
    ) {
        val usable = minOf(keepTime ?: DEFAULT_KEEP_TIME, LONGEST_KEEP_TIME) / 2
        val idle = IdleConnection(connection, now() + usable)
        byAddress.getOrPut(connection.address) { ArrayDeque() }.addLast(idle)
        later(usable) { closeIfWaiting(idle) }
    }

    /** Closes the connection of [idle] unless it was taken, however often it may have been put back since. */
    private fun closeIfWaiting(idle: IdleConnection) {
        val waiting = byAddress[idle.connection.address] ?: return
        if (waiting.removeAll { it === idle }) {
            idle.connection.close()
        }
    }

    fun keepOnly(addresses: Set<String>) {
        for (address in byAddress.keys - addresses) {
            byAddress.remove(address)?.forEach { it.connection.close() }
        }
    }

    /** Told apart by identity: a connection that is put back waits anew. */
    private class IdleConnection(
        val connection: TargetConnection,
        val usableUntil: Instant,
    )

    private companion object {
        val DEFAULT_KEEP_TIME = 2.seconds

        /** Longest keep time of a target that is taken at its word. */
        val LONGEST_KEEP_TIME = 120.seconds
    }
}
