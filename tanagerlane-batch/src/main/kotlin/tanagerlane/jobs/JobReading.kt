package tanagerlane.jobs

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import tanagerlane.batch.JobKeys
import tanagerlane.job.ChunkState
import tanagerlane.job.JobHeader
import tanagerlane.model.JobId
import tanagerlane.model.WorkspaceName
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject

/** Returns the keys of a job, or [JobError.InvalidName]. */
internal fun keysOf(
    workspace: WorkspaceName,
    job: JobId,
): Result<JobKeys, JobError> {
    val invalid = listOf(workspace.text, job.text).find { !JobKeys.isName(it) }
    return if (invalid == null) {
        Ok(JobKeys(workspace, job))
    } else {
        Err(JobError.InvalidName(invalid, JobKeys.MAXIMUM_NAME_LENGTH))
    }
}

/** Returns the first page of results at or after [cursor]. */
internal fun positionAt(
    cursor: ResultCursor,
    header: JobHeader,
    states: Map<Int, ChunkState>,
): ResultCursor? {
    fun pagesOf(chunk: Int): Int = states[chunk]?.pages?.size ?: 0
    if (cursor.chunk in 0..<header.chunkModels.size && cursor.page in 0..<pagesOf(cursor.chunk)) {
        return cursor
    }
    val chunk = (cursor.chunk + 1..<header.chunkModels.size).find { pagesOf(it) > 0 } ?: return null
    return ResultCursor(chunk, page = 0)
}

/** Returns the number of the chunk whose state [stored] is. */
internal fun chunkOf(stored: StoredObject): Int =
    stored.key.path
        .substringAfterLast('/')
        .toInt()

internal fun unavailable(failure: StoreFailure): JobError = JobError.StoreUnavailable(failure)

/** Returns the error that tells whether a write may have taken effect. */
internal fun errorOf(failure: StoreFailure): JobError =
    if (failure is StoreFailure.OutcomeUnknown) JobError.Unsettled(failure) else JobError.StoreUnavailable(failure)
