package tanagerlane.jobs

import tanagerlane.job.JobHeader

/**
 * Progress of a job.
 *
 * @property doneItems items that have a result
 * @property failedItems items among them whose result is a failure
 */
public data class JobStatus(
    val header: JobHeader,
    val doneItems: Int,
    val failedItems: Int,
)
