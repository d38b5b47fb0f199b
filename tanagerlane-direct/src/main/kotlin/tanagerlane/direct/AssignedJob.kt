package tanagerlane.direct

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import tanagerlane.joblog.JobLog
import tanagerlane.joblog.ListedResult
import tanagerlane.model.RequestId
import tanagerlane.model.TargetName
import kotlin.time.Instant

/** State of a job that this process runs. */
internal class AssignedJob(
    log: JobLog,
) {
    /** The job and its stored results. */
    var log: JobLog = log
        set(value) {
            field = value
            logChange.complete(Unit)
            logChange = CompletableDeferred()
        }

    val progress: Map<RequestId, ItemProgress> = log.items.associate { it.id to ItemProgress(it) }

    /** Results of finished items that are not on a stored page yet, by item. */
    val unlisted = LinkedHashMap<RequestId, ListedResult>()

    /** Items that are running, by item. */
    val runs = HashMap<RequestId, ItemRun>()

    /** Completed when [log] changes, and then replaced by a new instance. */
    var logChange = CompletableDeferred<Unit>()
        private set

    /** Whether results are being written or read again; at most one such call runs for each job. */
    var isWriting = false

    /** Whether another process may have appended pages, so that the log must be read again before it is used. */
    var mayBeStale = false

    /** Time at which the job was finished, or null while items are left to run. */
    var finishedAt: Instant? = null

    /** Time at which results were last listed. */
    var lastListedAt: Instant = Instant.DISTANT_PAST

    /** Returns the items that may be started at [now]. */
    fun startable(now: Instant): List<ItemProgress> =
        log.pending
            .filter { it.id !in unlisted && it.id !in runs }
            .map { progress.getValue(it.id) }
            .filter { it.notBefore <= now }

    /** A run of an item at [target]. */
    data class ItemRun(
        val item: RequestId,
        val target: TargetName,
        val coroutine: Job,
    )
}
