package tanagerlane.direct

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import tanagerlane.joblog.JobLog
import tanagerlane.joblog.ListedResult
import tanagerlane.model.RequestId
import tanagerlane.model.TargetName
import tanagerlane.streams.AnswerBudget
import kotlin.time.Instant

/**
 * State of a job that this process runs.
 *
 * @param budget budget for the unfinished answers of its items
 */
internal class AssignedJob(
    log: JobLog,
    budget: AnswerBudget = AnswerBudget(Long.MAX_VALUE),
) {
    /** The job and its stored results. */
    var log: JobLog = log
        set(value) {
            field = value
            logChange.complete(Unit)
            logChange = CompletableDeferred()
        }

    val progress: Map<RequestId, ItemProgress> = log.items.associate { it.id to ItemProgress(it, budget) }

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

    /** Records that the results of [items] are listed, so that nothing else of them is needed any more. */
    fun forget(items: Collection<RequestId>) {
        items.forEach { item ->
            unlisted.remove(item)
            progress[item]?.clear()
        }
    }

    /** Removes the events of all items. */
    fun clearProgress(): Unit = progress.values.forEach { it.clear() }

    /** A run of an item at [target]. */
    data class ItemRun(
        val item: RequestId,
        val target: TargetName,
        val coroutine: Job,
    )
}
