package tanagerlane.jobs

import tanagerlane.job.JobHeader

/**
 * Acknowledges a submission, which is durable by then.
 *
 * @property joined whether the same job had been accepted before
 */
public data class JobReceipt(
    val header: JobHeader,
    val joined: Boolean,
)
