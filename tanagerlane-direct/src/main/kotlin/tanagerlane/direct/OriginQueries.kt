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
     * Returns the replies of [asked] up to the first one with an origin.
     *
     * Waits for all of them for 100 ms, and for the first one for 300 ms, as processes that have just started reply late.
     * Also those that are not reachable are waited for: a process that has just started has not heard the others yet.
     *
     * @param attempt attempt that brought the first event of a stream, or null to ask about [service] only
     */
    suspend fun ask(
        asked: Collection<HostName>,
        attempt: RequestId?,
        service: ServiceName,
    ): Collection<OriginReply> {
        val query = OriginQuery(fleet.ownHost, ++lastQuery, attempt, service)
        val pending = OpenQuery(asked)
        open[query.query] = pending
        try {
            for (pause in PAUSES) {
                fleet.send(asked - pending.replies.keys, query)
                withTimeoutOrNull(pause) { pending.isDone.await() }
                if (pending.isDone.isCompleted) break
            }
            for (pause in PAUSES_WITHOUT_REPLY) {
                if (pending.replies.isNotEmpty()) break
                fleet.send(asked, query)
                withTimeoutOrNull(pause) { pending.isDone.await() }
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
        private val expected: Collection<HostName>,
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
        /** Pauses after each of which a query is sent again to those that have not replied. */
        val PAUSES = listOf(30.milliseconds, 70.milliseconds)

        /** Further pauses while nobody has replied. */
        val PAUSES_WITHOUT_REPLY = listOf(100.milliseconds, 100.milliseconds)
    }
}
