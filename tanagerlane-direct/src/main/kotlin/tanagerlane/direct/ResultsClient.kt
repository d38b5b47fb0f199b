package tanagerlane.direct

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import tanagerlane.joblog.ListedResult
import tanagerlane.message.ResultsQuery
import tanagerlane.message.ResultsReply
import tanagerlane.model.HostName
import tanagerlane.model.JobId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Asks the runners of jobs for results. */
internal class ResultsClient(
    private val fleet: Fleet,
) {
    private val open = HashMap<Long, CompletableDeferred<List<ListedResult>?>>()
    private var queries = 0L

    /** Returns results of [job] from [after] on, or null when [runner] can't tell. */
    suspend fun query(
        runner: HostName,
        job: JobId,
        after: Int,
        wait: Duration,
    ): List<ListedResult>? {
        val query = ++queries
        val reply = CompletableDeferred<List<ListedResult>?>()
        open[query] = reply
        try {
            fleet.send(runner, ResultsQuery(query, job, after, wait))
            return withTimeoutOrNull(wait + ANSWER_TIME) { reply.await() }
        } finally {
            open.remove(query)
        }
    }

    fun onReply(reply: ResultsReply) {
        open[reply.query]?.complete(reply.results)
    }

    private companion object {
        val ANSWER_TIME = 250.milliseconds
    }
}
