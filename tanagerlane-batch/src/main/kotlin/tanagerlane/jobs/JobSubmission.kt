package tanagerlane.jobs

import tanagerlane.model.JobId
import tanagerlane.model.WorkspaceName
import kotlin.time.Instant

/**
 * What a client asks for beside the items.
 *
 * @property due time by which the results are wanted; that of the first submission counts
 */
public data class JobSubmission(
    val workspace: WorkspaceName,
    val job: JobId,
    val due: Instant,
)
