package tanagerlane.jobs

import tanagerlane.job.ChunkItem
import tanagerlane.model.JobId
import tanagerlane.model.ModelName
import tanagerlane.model.WorkspaceName
import kotlin.time.Instant

/**
 * One attempt of an item.
 *
 * @property attempt number of the attempt as far as is recorded, from 1
 */
public data class ItemRun(
    val workspace: WorkspaceName,
    val job: JobId,
    val model: ModelName,
    val item: ChunkItem,
    val attempt: Int,
    val due: Instant,
)
