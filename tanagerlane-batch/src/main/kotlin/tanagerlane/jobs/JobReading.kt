package tanagerlane.jobs

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import tanagerlane.batch.JobKeys
import tanagerlane.model.JobId
import tanagerlane.model.WorkspaceName
import tanagerlane.store.StoreFailure
import tanagerlane.store.StoredObject

/** Returns the keys of a job, or [JobError.InvalidName]. */
internal fun keysOf(
    workspace: WorkspaceName,
    job: JobId,
): Result<JobKeys, JobError> {
    val invalid = listOf(workspace.text, job.text).find { !JobKeys.isValidName(it) }
    return if (invalid == null) {
        Ok(JobKeys(workspace, job))
    } else {
        Err(JobError.InvalidName(invalid, JobKeys.MAXIMUM_NAME_LENGTH))
    }
}

/** Returns where to read on after the page at [cursor]. */
internal fun nextOf(
    cursor: ResultCursor,
    pages: Int,
    chunks: Int,
): ResultCursor? =
    when {
        cursor.page + 1 < pages -> cursor.copy(page = cursor.page + 1)
        cursor.chunk + 1 < chunks -> ResultCursor(cursor.chunk + 1, page = 0)
        else -> null
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

/** Returns the error of a call whose earlier try failed with [earlier]: a doubt remains if this try is not answered. */
internal fun JobError.after(earlier: JobError): JobError =
    if (this is JobError.StoreUnavailable && earlier is JobError.Unsettled) earlier else this
