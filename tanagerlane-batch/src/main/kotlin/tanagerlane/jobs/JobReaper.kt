package tanagerlane.jobs

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.delay
import tanagerlane.batch.BatchRules
import tanagerlane.batch.Claimant
import tanagerlane.batch.expiryOf
import tanagerlane.job.ChunkState
import tanagerlane.job.ExpiredJob
import tanagerlane.job.JobHeader
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.StoreFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Deletes the objects of jobs that ended longer than the retention time ago, one job at a time.
 *
 * Each process waits for another part of the spread, so that mostly one of them does the work; what one leaves
 * undone the next completes, because the header goes last.
 */
internal class JobReaper(
    private val store: ObjectStore,
    private val claimant: Claimant,
    private val rules: BatchRules,
    private val board: JobBoard,
    private val metrics: BatchMetrics,
    private val now: () -> Instant,
) {
    /** Deletes until cancelled. */
    suspend fun run() {
        while (true) {
            delay(LOOK_INTERVAL)
            val due = board.endedJobs().filter { (key, endedAt) -> expiryOf(key, endedAt, claimant, rules) <= now() }
            due.keys.firstOrNull()?.let { key -> reap(key).getOrElse { metrics.failedCalls.increment() } }
        }
    }

    private suspend fun reap(header: ObjectKey): Result<Unit, JobError> {
        val stored = store.get(header).mapError(::unavailable).getOrElse { return Err(it) }
        val job = stored.decoded<JobHeader>().getOrElse { return Err(it) }
        val expired = OpenJob(job, stored.version)
        val remains = encoded(ExpiredJob(job.workspace, job.job, job.endedAt ?: return Ok(Unit)))
        store
            .putSettled(
                expired.keys.expiredKey,
                remains,
                expected = null,
                pause = rules.retryInterval,
                tries = WRITE_TRIES,
            ).mapError(::unavailable)
            .getOrElse { return Err(it) }
        for (chunk in 0..<expired.chunkCount) {
            deleteChunk(expired, chunk).getOrElse { return Err(it) }
        }
        return delete(header)
    }

    private suspend fun deleteChunk(
        job: OpenJob,
        chunk: Int,
    ): Result<Unit, JobError> {
        val state = job.keys.stateKey(chunk)
        val pages =
            store.get(state).fold(
                { stored -> stored.decoded<ChunkState>().getOrElse { return Err(it) }.pages },
                { failure -> if (failure is StoreFailure.NotFound) emptyList() else return Err(unavailable(failure)) },
            )
        val keys = pages.map { job.keys.pageKey(chunk, it) } + job.keys.itemsKey(job.header.upload, chunk) + state
        for (key in keys) {
            delete(key).getOrElse { return Err(it) }
            delay(DELETE_INTERVAL)
        }
        return Ok(Unit)
    }

    /** Deletes the object at [key] if there is one; a lost answer is settled when the job is looked at again. */
    private suspend fun delete(key: ObjectKey): Result<Unit, JobError> {
        val stored =
            store.get(key).getOrElse { failure ->
                return if (failure is StoreFailure.NotFound) Ok(Unit) else Err(unavailable(failure))
            }
        return store.delete(key, stored.version).mapError(::unavailable)
    }

    private companion object {
        val LOOK_INTERVAL: Duration = 1.minutes
        val DELETE_INTERVAL: Duration = 0.1.seconds
        const val WRITE_TRIES = 3
    }
}
