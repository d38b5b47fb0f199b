package tanagerlane.direct

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import tanagerlane.message.ResultsQuery
import tanagerlane.message.ResultsReply
import tanagerlane.message.WireMessage
import tanagerlane.model.HostName
import tanagerlane.model.JobId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Queries the runners of jobs for results.
 *
 * @param send sends a message to another process
 */
internal class ResultsClient(
    private val send: (HostName, WireMessage) -> Unit,
) {
    /** Queries without a reply, by their number. */
    private val open = HashMap<Long, CompletableDeferred<ResultsReply>>()

    /** Starts anywhere, so that a late reply to an earlier instance of this process answers no query of this one. */
    private var lastQueryNumber = Random.nextLong()

    /**
     * Queries [runner] for the results of [job] from position [after] on; returns null if it replies too late.
     *
     * @param wait time for which [runner] may wait for further results
     */
    suspend fun query(
        runner: HostName,
        job: JobId,
        after: Int,
        wait: Duration,
    ): ResultsReply? {
        val queryId = ++lastQueryNumber
        val reply = CompletableDeferred<ResultsReply>()
        open[queryId] = reply
        try {
            send(runner, ResultsQuery(queryId, job, after, wait))
            return withTimeoutOrNull(wait + REPLY_MARGIN) { reply.await() }
        } finally {
            open.remove(queryId)
        }
    }

    /** Completes the query that [reply] answers; a reply that comes too late is ignored. */
    fun onReply(reply: ResultsReply) {
        open[reply.query]?.complete(reply)
    }

    private companion object {
        /** Time for the reply in addition to the wait time of the query. */
        val REPLY_MARGIN = 600.milliseconds
    }
}
