package tanagerlane.jobs

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import tanagerlane.batch.JobKeys
import tanagerlane.job.JobHeader
import tanagerlane.job.JobPhase
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoredObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * The open and the ended jobs, kept up to date by one watch over all headers.
 *
 * @param changed called after each change, with the keys of the jobs that ended
 */
internal class JobBoard(
    private val store: ObjectStore,
    private val metrics: BatchMetrics,
    private val pause: Duration,
    private val changed: (Set<ObjectKey>) -> Unit,
) {
    private val lock = Any()
    private var open = emptyMap<ObjectKey, OpenJob>()
    private val ended = HashMap<ObjectKey, Instant>()

    /** Returns the open jobs. */
    fun jobs(): Collection<OpenJob> = synchronized(lock) { open.values }

    /** Returns the jobs that have ended and are still stored, with the times of their ends. */
    fun endedJobs(): Map<ObjectKey, Instant> = synchronized(lock) { ended.toMap() }

    /** Returns whether the job whose header is at [key] is open. */
    fun isOpen(key: ObjectKey): Boolean = synchronized(lock) { key in open }

    /** Follows the headers until cancelled. */
    suspend fun follow() {
        var after = listed()
        while (true) {
            after = watched(after) ?: paused(after)
        }
    }

    private suspend fun listed(): ObjectVersion {
        while (true) {
            val listing = store.list(JobKeys.HEADER_PREFIX).fold({ it }, { null })
            if (listing != null) {
                listing.objects.forEach { update(it.key, it) }
                changed(emptySet())
                return listing.at
            }
            paused(ObjectVersion.NONE)
        }
    }

    private suspend fun watched(after: ObjectVersion): ObjectVersion? {
        val changes = store.watch(JobKeys.HEADER_PREFIX, after, WATCH_TIME).fold({ it }, { return null })
        if (changes.changes.isNotEmpty()) {
            val ended = changes.changes.filter { update(it.key, it.current) }.map { it.key }
            changed(ended.toSet())
        }
        return changes.at
    }

    private suspend fun paused(after: ObjectVersion): ObjectVersion {
        metrics.failedCalls.increment()
        delay(pause)
        return after
    }

    /** Returns whether the job at [key] ended. */
    private fun update(
        key: ObjectKey,
        current: StoredObject?,
    ): Boolean {
        val header = current?.let { header(it) }
        val job = header?.takeIf { it.phase == JobPhase.OPEN }?.let { OpenJob(it, current.version) }
        return synchronized(lock) {
            val known = key in open
            noteEnd(key, header)
            open = if (job == null) open - key else open + (key to job)
            known && job == null
        }
    }

    private fun noteEnd(
        key: ObjectKey,
        header: JobHeader?,
    ) {
        val endedAt = header?.endedAt
        if (endedAt == null) {
            ended.remove(key)
        } else {
            ended[key] = endedAt
        }
    }

    private fun header(stored: StoredObject): JobHeader? =
        stored.decoded<JobHeader>().getOrElse {
            metrics.unreadable.increment()
            null
        }

    private companion object {
        val WATCH_TIME: Duration = 30.seconds
    }
}
