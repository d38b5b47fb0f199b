package tanagerlane.direct

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import tanagerlane.message.ResultsQuery
import tanagerlane.message.ResultsReply
import tanagerlane.model.HostName
import tanagerlane.model.JobId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Queries the runners of jobs for results. */
internal class ResultsClient(
    private val fleet: Fleet,
) {
    /** Queries without a reply, by their number. */
    private val open = HashMap<Long, CompletableDeferred<ResultsReply>>()
    private var queryCount = 0L

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
        val queryId = ++queryCount
        val reply = CompletableDeferred<ResultsReply>()
        open[queryId] = reply
        try {
            fleet.send(runner, ResultsQuery(queryId, job, after, wait))
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
