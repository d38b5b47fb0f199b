package tanagerlane.jobs

import tanagerlane.batch.ItemError
import tanagerlane.job.JobPhase
import tanagerlane.model.JobId
import tanagerlane.store.ObjectKey
import tanagerlane.store.StoreFailure
import kotlin.time.Instant

/** Why a call on a job did not succeed. */
public sealed interface JobError {
    /** The workspace has no such job. */
    public data class NotFound(
        val job: JobId,
    ) : JobError

    /** The results of the job, which ended at [endedAt], were deleted after their retention time. */
    public data class Expired(
        val job: JobId,
        val endedAt: Instant,
    ) : JobError

    /** The name of the workspace or of the job is empty or over [maximumLength] characters. */
    public data class InvalidName(
        val name: String,
        val maximumLength: Int,
    ) : JobError

    /** A job of this name exists with other items. */
    public data class ContentConflict(
        val job: JobId,
    ) : JobError

    /** A submission holds no items. */
    public data object Empty : JobError

    /** The item in [line], counted from 0, cannot be accepted. */
    public data class InvalidItem(
        val line: Int,
        val fault: ItemError,
    ) : JobError

    /** The item in [line] has the custom id of an earlier one. */
    public data class DuplicateCustomId(
        val line: Int,
        val customId: String,
    ) : JobError

    /** A submission holds over [maximumItems] items. */
    public data class TooManyItems(
        val maximumItems: Int,
    ) : JobError

    /** The items of a submission name over [maximumModels] models. */
    public data class TooManyModels(
        val maximumModels: Int,
    ) : JobError

    /** The job ended before it could be cancelled. */
    public data class AlreadyEnded(
        val phase: JobPhase,
    ) : JobError

    /** The object API did not answer; the call took no effect and may be sent again. */
    public data class StoreUnavailable(
        val failure: StoreFailure,
    ) : JobError

    /** The call may have taken effect; sending it again is safe and settles it. */
    public data class Unsettled(
        val failure: StoreFailure,
    ) : JobError

    /** A stored object cannot be read. */
    public data class Unreadable(
        val key: ObjectKey,
    ) : JobError
}
