package tanagerlane.direct

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import tanagerlane.joblog.JobLog
import tanagerlane.joblog.ListedResult
import tanagerlane.model.RequestId
import tanagerlane.model.TargetName
import kotlin.time.Instant

/** A job that this process runs. */
internal class AssignedJob(
    log: JobLog,
) {
    /** The job as it is stored. */
    var log: JobLog = log
        set(changed) {
            field = changed
            news.complete(Unit)
            news = CompletableDeferred()
        }

    val progress: Map<RequestId, ItemProgress> = log.items.associate { it.id to ItemProgress(it) }

    /** Results that no page holds yet. */
    val finished = LinkedHashMap<RequestId, ListedResult>()

    /** Items that run now. */
    val runs = HashMap<RequestId, ItemRun>()

    /** Completed and replaced when [log] has changed. */
    var news = CompletableDeferred<Unit>()
        private set

    /** Whether a page is being written. */
    var isWriting = false

    /** Whether pages may have been added by another process, so that the log has to be read again. */
    var isDoubtful = false

    /** When nothing was left to run, or null before. */
    var finishedAt: Instant? = null

    /** When results were last listed. */
    var listedAt: Instant = Instant.DISTANT_PAST

    /** Items that may be started. */
    fun startable(now: Instant): List<ItemProgress> =
        log.pending
            .filter { it.id !in finished && it.id !in runs }
            .map { progress.getValue(it.id) }
            .filter { it.notBefore <= now }

    /** An item that runs at [target]. */
    data class ItemRun(
        val item: RequestId,
        val target: TargetName,
        val coroutine: Job,
    )
}
