package tanagerlane.direct

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Connections that wait for their next request, the one used last first. */
internal class IdleConnections(
    private val now: () -> Instant,
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

    /** Keeps [connection] for half of [keepTime], the time after which the target closes it. */
    fun put(
        connection: TargetConnection,
        keepTime: Duration?,
    ) {
        val usable = (keepTime ?: DEFAULT_KEEP_TIME) / 2
        byAddress.getOrPut(connection.address) { ArrayDeque() }.addLast(IdleConnection(connection, now() + usable))
    }

    fun keepOnly(addresses: Set<String>) {
        for (address in byAddress.keys - addresses) {
            byAddress.remove(address)?.forEach { it.connection.close() }
        }
    }

    private data class IdleConnection(
        val connection: TargetConnection,
        val usableUntil: Instant,
    )

    private companion object {
        val DEFAULT_KEEP_TIME = 2.seconds
    }
}
