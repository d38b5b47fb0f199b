package tanagerlane.direct

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Idle connections to targets; the most recently used one is taken first.
 *
 * @param schedule runs an action on the same thread after a delay
 */
internal class IdleConnections(
    private val now: () -> Instant,
    private val schedule: (time: Duration, action: () -> Unit) -> Unit,
) {
    private val byAddress = HashMap<String, ArrayDeque<IdleConnection>>()

    /**
     * Returns an idle connection to [address] for [request], or null if there is none.
     *
     * Connections that the target may have closed for inactivity are closed. Those that have sent the same request
     * before are skipped, because a duplicate answer to it could not be distinguished from the expected one. If there
     * are no others, one of them is closed, so that the number of connections does not grow.
     */
    fun take(
        address: String,
        request: String,
    ): TargetConnection? {
        val idle = byAddress[address] ?: return null
        closeUnusable(idle)
        val index = idle.indexOfLast { !it.connection.mayRepeatAnswer(request) }
        if (index >= 0) {
            return idle.removeAt(index).connection
        }
        idle.removeFirstOrNull()?.connection?.close()
        return null
    }

    private fun closeUnusable(idle: ArrayDeque<IdleConnection>) {
        val time = now()
        idle.removeAll { entry ->
            val isUnusable = entry.connection.isClosed || time >= entry.usableUntil
            if (isUnusable) entry.connection.close()
            isUnusable
        }
    }

    /**
     * Keeps [connection] open for half of [keepAliveTimeout], the idle time after which the target closes it.
     *
     * It is then closed unless it was taken. Bytes that arrive in the meantime belong to no request; if they do not end
     * the connection at once, it is closed when that time is up.
     */
    fun put(
        connection: TargetConnection,
        keepAliveTimeout: Duration?,
    ) {
        val idleTime = minOf(keepAliveTimeout ?: DEFAULT_KEEP_ALIVE_TIMEOUT, MAXIMUM_KEEP_ALIVE_TIMEOUT) / 2
        val entry = IdleConnection(connection, now() + idleTime)
        byAddress.getOrPut(connection.address) { ArrayDeque() }.addLast(entry)
        schedule(idleTime) { closeIfIdle(entry) }
    }

    /** Closes the connection of [entry] unless it was taken, even if it has been put back since. */
    private fun closeIfIdle(entry: IdleConnection) {
        val idle = byAddress[entry.connection.address] ?: return
        if (idle.removeAll { it === entry }) {
            entry.connection.close()
        }
    }

    /** Closes the idle connections to addresses other than [addresses]. */
    fun keepOnly(addresses: Set<String>) {
        for (address in byAddress.keys - addresses) {
            byAddress.remove(address)?.forEach { it.connection.close() }
        }
    }

    /** Compared by identity: a connection that is put back gets a new entry. */
    private class IdleConnection(
        val connection: TargetConnection,
        val usableUntil: Instant,
    )

    private companion object {
        val DEFAULT_KEEP_ALIVE_TIMEOUT = 2.seconds

        /** Upper bound on the keep-alive timeout that a target may announce. */
        val MAXIMUM_KEEP_ALIVE_TIMEOUT = 120.seconds
    }
}
