package tanagerlane.direct

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import tanagerlane.message.OriginQuery
import tanagerlane.message.OriginReply
import tanagerlane.model.HostName
import tanagerlane.model.RequestId
import tanagerlane.model.ServiceName
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Asks other processes at which software versions streams began, and which versions were in service. */
internal class OriginQueries(
    private val fleet: Fleet,
) {
    private val open = HashMap<Long, OpenQuery>()

    /** Starts anywhere, so that a late reply to an earlier instance of this process answers no query of this one. */
    private var lastQuery = Random.nextLong()

    /**
     * Returns the replies of [asked] up to the first one with an origin, or those that have come after [REPLY_TIMEOUT].
     *
     * @param attempt attempt that brought the first event of a stream, or null to ask about [service] only
     */
    suspend fun ask(
        asked: Collection<HostName>,
        attempt: RequestId?,
        service: ServiceName,
    ): Collection<OriginReply> {
        val expected = asked.filterTo(HashSet()) { it in fleet.reachable }.ifEmpty { asked.toSet() }
        val query = OriginQuery(fleet.ownHost, ++lastQuery, attempt, service)
        val pending = OpenQuery(expected)
        open[query.query] = pending
        try {
            fleet.send(asked, query)
            withTimeoutOrNull(REPEAT_AFTER) { pending.isDone.await() }
                ?: withTimeoutOrNull(REPLY_TIMEOUT - REPEAT_AFTER) {
                    fleet.send(asked - pending.replies.keys, query)
                    pending.isDone.await()
                }
        } finally {
            open.remove(query.query)
        }
        return pending.replies.values
    }

    /** Passes [reply] to the query that it answers; a late or repeated reply is ignored. */
    fun received(reply: OriginReply) {
        open[reply.query]?.received(reply)
    }

    private class OpenQuery(
        private val expected: Set<HostName>,
    ) {
        val replies = HashMap<HostName, OriginReply>()
        val isDone = CompletableDeferred<Unit>()

        fun received(reply: OriginReply) {
            replies[reply.host] = reply
            if (reply.origin != null || replies.keys.containsAll(expected)) {
                isDone.complete(Unit)
            }
        }
    }

    private companion object {
        /** Time after which a query is sent again to those that have not replied. */
        val REPEAT_AFTER = 30.milliseconds
        val REPLY_TIMEOUT = 100.milliseconds
    }
}
