package tanagerlane.direct

import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import tanagerlane.joblog.ListedResult
import tanagerlane.message.ResultsQuery
import tanagerlane.message.ResultsReply
import tanagerlane.model.HostName
import tanagerlane.model.JobId
import kotlin.time.Duration.Companion.milliseconds

/**
 * Answers the queries of other processes for results of the jobs that this one runs.
 *
 * @param assignedJob returns the state of a job, or null if this process does not run it
 * @param isLeaving whether this process is giving up its jobs
 * @param requestSchedulingPass requests a pass that reads the pages of jobs that may be stale
 */
internal class ResultQueries(
    private val scope: CoroutineScope,
    private val fleet: Fleet,
    private val storage: JobStorage,
    private val assignedJob: (JobId) -> AssignedJob?,
    private val isLeaving: () -> Boolean,
    private val requestSchedulingPass: () -> Unit,
) {
    /** Answers [query] of the process [from] once there are results to send or its wait time is over. */
    fun answer(
        from: HostName,
        query: ResultsQuery,
    ) {
        scope.launch {
            withTimeoutOrNull(query.wait) { while (!canAnswer(query)) assignedJob(query.job)?.logChange?.await() }
            val job = assignedJob(query.job)?.takeUnless { isLeaving() }
            val isSure = job == null || isCurrent(job, query.after)
            val results =
                job
                    ?.takeIf { isSure }
                    ?.log
                    ?.listed
                    ?.drop(query.after)
            logAnswer(from, query, results)
            val page = results?.takeWithinBytes(MAXIMUM_REPLY_BYTES, JobStorage::encodedBytes)
            // The sender of the query reads what does not fit into a message from the object API.
            val fitting = page?.takeIf { it.sumOf(JobStorage::encodedBytes) <= MAXIMUM_MESSAGE_BYTES }
            fleet.send(from, ResultsReply(query.query, fitting, isUnconfirmed = !isSure))
        }
    }

    /**
     * Whether the results of [job] at position [after] are known here, or known not to exist; reads them if needed.
     *
     * Another process may have appended pages without this one noticing, so a copy that is not complete proves nothing
     * about results that it lacks. It is current if the page after its last one does not exist.
     */
    private suspend fun isCurrent(
        job: AssignedJob,
        after: Int,
    ): Boolean = hasPosition(job, after) || withTimeoutOrNull(CONFIRMATION_TIMEOUT) { confirm(job, after) } ?: false

    private fun hasPosition(
        job: AssignedJob,
        after: Int,
    ): Boolean = job.log.listed.size > after || job.log.isComplete

    private suspend fun confirm(
        job: AssignedJob,
        after: Int,
    ): Boolean {
        while (!hasPosition(job, after)) {
            val pages = job.log.pages
            val hasNextPage =
                storage.hasPage(job.log.record.job, pages).getOrElse { failure ->
                    logger.warn("results not confirmed job={} pages={} cause={}", job.log.record.job, pages, failure)
                    return false
                }
            if (!hasNextPage) {
                return true
            }
            logger.info("copy is behind job={} pages={} ended={}", job.log.record.job, pages, job.log.isEnded)
            awaitPage(job, pages)
        }
        return true
    }

    /** Reads the pages of [job] until the one with number [page] is known; a read under way may have missed it. */
    private suspend fun awaitPage(
        job: AssignedJob,
        page: Int,
    ) {
        while (job.log.pages <= page) {
            job.mayBeStale = true
            requestSchedulingPass()
            job.logChange.await()
        }
    }

    private fun logAnswer(
        from: HostName,
        query: ResultsQuery,
        reply: List<ListedResult>?,
    ) {
        val job = assignedJob(query.job)
        logger.info(
            "query answered job={} from={} after={} results={} listed={} pages={} ended={} stale={} leaving={}",
            query.job,
            from,
            query.after,
            reply?.size,
            job?.log?.listed?.size,
            job?.log?.pages,
            job?.log?.isEnded,
            job?.mayBeStale,
            isLeaving(),
        )
    }

    private fun canAnswer(query: ResultsQuery): Boolean {
        val log = assignedJob(query.job)?.log ?: return true
        return log.listed.size > query.after || log.isFinished
    }

    private companion object {
        /** Time limit for finding out whether a job has further results. */
        val CONFIRMATION_TIMEOUT = 500.milliseconds

        /** Size up to which results are put together in one reply. */
        const val MAXIMUM_REPLY_BYTES = 1_000_000

        /** Size of the largest reply that is sent; other processes read no messages of over 4 MiB. */
        const val MAXIMUM_MESSAGE_BYTES = 3_000_000
        val logger = LoggerFactory.getLogger(ResultQueries::class.java)
    }
}
