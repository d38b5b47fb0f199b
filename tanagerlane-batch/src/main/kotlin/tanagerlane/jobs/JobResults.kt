package tanagerlane.jobs

import tanagerlane.job.ItemResult

/**
 * A page of results.
 *
 * While the job is open, pages before the cursor may still be added; a reading that begins after the end of the job
 * is complete.
 *
 * @property next where to read on, or null after the last page
 */
public data class JobResults(
    val results: List<ItemResult>,
    val next: ResultCursor?,
)
