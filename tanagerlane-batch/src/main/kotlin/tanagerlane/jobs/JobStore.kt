package tanagerlane.jobs

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.collect
import kotlinx.coroutines.flow.filter
import kotlinx.coroutines.flow.takeWhile
import tanagerlane.batch.JobKeys
import tanagerlane.batch.doneItems
import tanagerlane.job.ChunkState
import tanagerlane.job.ExpiredJob
import tanagerlane.job.JobHeader
import tanagerlane.job.JobPhase
import tanagerlane.job.PageName
import tanagerlane.job.ResultPage
import tanagerlane.model.JobId
import tanagerlane.model.Payload
import tanagerlane.model.WorkspaceName
import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectStore
import tanagerlane.store.ObjectVersion
import tanagerlane.store.StoreFailure
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Instant

/**
 * Takes jobs in and reads what became of them.
 *
 * @param newUpload returns a name that no other submission uses
 */
public class JobStore(
    private val store: ObjectStore,
    private val newUpload: () -> String,
    private val limits: JobLimits = JobLimits(),
    private val pause: Duration = 200.milliseconds,
) {
    /**
     * Accepts a job whose items are the non-empty [lines].
     *
     * The job is stored whole when this returns. A job that was accepted before under the same name is joined when
     * its items are the same, and fails with [JobError.ContentConflict] when they differ.
     */
    public suspend fun submit(
        submission: JobSubmission,
        lines: Flow<Payload>,
        now: Instant,
    ): Result<JobReceipt, JobError> {
        val keys = keysOf(submission.workspace, submission.job).getOrElse { return Err(it) }
        val items = lines.filter { it.size > 0 }
        val accepted = headerOrNull(keys).getOrElse { return Err(it) }
        return if (accepted == null) accept(submission, keys, items, now) else joined(accepted, digestOf(items))
    }

    /** Returns the progress of a job. */
    public suspend fun status(
        workspace: WorkspaceName,
        job: JobId,
    ): Result<JobStatus, JobError> {
        val keys = keysOf(workspace, job).getOrElse { return Err(it) }
        val header = header(keys).getOrElse { return Err(it) }.value
        val states = states(keys).getOrElse { return Err(it) }.values
        return Ok(JobStatus(header, states.sumOf { it.doneItems }, states.sumOf { it.failed }))
    }

    /** Returns the page of results at [cursor], or the first one of a later chunk when there is none at it. */
    public suspend fun results(
        workspace: WorkspaceName,
        job: JobId,
        cursor: ResultCursor = ResultCursor.START,
    ): Result<JobResults, JobError> {
        val keys = keysOf(workspace, job).getOrElse { return Err(it) }
        val header = header(keys).getOrElse { return Err(it) }.value
        val pages = pagesAt(keys, cursor.chunk).getOrElse { return Err(it) }
        val name = pages.getOrNull(cursor.page) ?: return resultsAfter(keys, cursor.chunk)
        return page(keys, cursor, name, nextOf(cursor, pages.size, header.chunkModels.size))
    }

    /** Cancels a job; cancelling it again succeeds. Results so far stay readable. */
    public suspend fun cancel(
        workspace: WorkspaceName,
        job: JobId,
        now: Instant,
    ): Result<JobHeader, JobError> {
        val keys = keysOf(workspace, job).getOrElse { return Err(it) }
        var error = errorOf(StoreFailure.Conflict(keys.headerKey, null))
        repeat(CANCEL_TRIES) {
            val current = header(keys).getOrElse { return Err(it.after(error)) }
            when (current.value.phase) {
                JobPhase.CANCELLED -> return Ok(current.value)
                JobPhase.FINISHED -> return Err(JobError.AlreadyEnded(JobPhase.FINISHED))
                JobPhase.OPEN -> Unit
            }
            val cancelled = current.value.copy(phase = JobPhase.CANCELLED, endedAt = now)
            val failure = write(keys.headerKey, cancelled, current.version).fold({ return Ok(cancelled) }, { it })
            error = errorOf(failure).after(error)
        }
        return Err(error)
    }

    /** Returns the first page of the chunks after [chunk]. */
    private suspend fun resultsAfter(
        keys: JobKeys,
        chunk: Int,
    ): Result<JobResults, JobError> {
        val states = states(keys).getOrElse { return Err(it) }
        val (next, state) =
            states.entries
                .filter { it.key > chunk && it.value.pages.isNotEmpty() }
                .minByOrNull { it.key } ?: return Ok(JobResults(emptyList(), null))
        val cursor = ResultCursor(next, page = 0)
        return page(keys, cursor, state.pages.first(), nextOf(cursor, state.pages.size, states.keys.max() + 1))
    }

    private suspend fun pagesAt(
        keys: JobKeys,
        chunk: Int,
    ): Result<List<PageName>, JobError> {
        val stored =
            store.get(keys.stateKey(chunk)).getOrElse {
                return if (it is StoreFailure.NotFound) Ok(emptyList()) else Err(unavailable(it))
            }
        return stored.decoded<ChunkState>().map { it.pages }
    }

    private suspend fun page(
        keys: JobKeys,
        cursor: ResultCursor,
        name: PageName,
        next: ResultCursor?,
    ): Result<JobResults, JobError> {
        val stored = store.get(keys.pageKey(cursor.chunk, name)).getOrElse { return Err(errorFor(keys, it)) }
        val page = stored.decoded<ResultPage>().getOrElse { return Err(it) }
        return Ok(JobResults(page.results, next))
    }

    private suspend fun accept(
        submission: JobSubmission,
        keys: JobKeys,
        items: Flow<Payload>,
        now: Instant,
    ): Result<JobReceipt, JobError> {
        val upload = JobUpload(store, submission, newUpload(), limits, pause)
        val header =
            uploaded(upload, items, now).getOrElse {
                upload.discard()
                return Err(it)
            }
        val failure = write(keys.headerKey, header, null).fold({ return Ok(JobReceipt(header, false)) }, { it })
        if (failure !is StoreFailure.OutcomeUnknown) {
            upload.discard()
        }
        if (failure !is StoreFailure.Conflict) {
            return Err(errorOf(failure))
        }
        // Another submission has stored a header; whether it has the same items is not known without it.
        val accepted = header(keys).getOrElse { return Err(it.after(JobError.Unsettled(failure))) }.value
        return joined(accepted, header.digest)
    }

    private suspend fun uploaded(
        upload: JobUpload,
        items: Flow<Payload>,
        now: Instant,
    ): Result<JobHeader, JobError> {
        val digest = ItemDigest()
        var error: JobError? = null
        items
            .takeWhile { line ->
                digest.add(line)
                error = upload.add(line).fold({ null }, { it })
                error == null
            }.collect()
        return error?.let { Err(it) } ?: upload.finish(digest.text(), now)
    }

    private suspend fun digestOf(items: Flow<Payload>): String {
        val digest = ItemDigest()
        items.collect { digest.add(it) }
        return digest.text()
    }

    private fun joined(
        accepted: JobHeader,
        digest: String,
    ): Result<JobReceipt, JobError> =
        if (accepted.digest == digest) {
            Ok(JobReceipt(accepted, joined = true))
        } else {
            Err(JobError.ContentConflict(accepted.job))
        }

    private suspend fun write(
        key: ObjectKey,
        header: JobHeader,
        expected: ObjectVersion?,
    ): Result<ObjectVersion, StoreFailure> = store.putSettled(key, encoded(header), expected, pause, HEADER_TRIES)

    private suspend fun headerOrNull(keys: JobKeys): Result<JobHeader?, JobError> =
        header(keys).fold(
            { Ok(it.value) },
            { if (it is JobError.NotFound) Ok(null) else Err(it) },
        )

    private suspend fun header(keys: JobKeys): Result<Versioned<JobHeader>, JobError> {
        val stored = store.get(keys.headerKey).getOrElse { return Err(errorFor(keys, it)) }
        val header = stored.decoded<JobHeader>().getOrElse { return Err(it) }
        return Ok(Versioned(header, stored.version))
    }

    /** Returns the error for a read of a job's object that failed. */
    private suspend fun errorFor(
        keys: JobKeys,
        failure: StoreFailure,
    ): JobError {
        if (failure !is StoreFailure.NotFound) {
            return unavailable(failure)
        }
        val stored =
            store.get(keys.expiredKey).getOrElse {
                return if (it is StoreFailure.NotFound) JobError.NotFound(keys.job) else unavailable(it)
            }
        return stored.decoded<ExpiredJob>().fold({ JobError.Expired(keys.job, it.endedAt) }, { it })
    }

    private suspend fun states(keys: JobKeys): Result<Map<Int, ChunkState>, JobError> {
        val listing = store.list(keys.statePrefix).mapError(::unavailable).getOrElse { return Err(it) }
        return Ok(listing.objects.associate { chunkOf(it) to it.decoded<ChunkState>().getOrElse { return Err(it) } })
    }

    private companion object {
        const val CANCEL_TRIES = 8
        const val HEADER_TRIES = 4
    }
}
