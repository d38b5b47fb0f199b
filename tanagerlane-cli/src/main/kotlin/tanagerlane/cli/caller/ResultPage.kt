package tanagerlane.cli.caller

/**
 * Some results of a job.
 *
 * @property lines results as JSON lines, each ended by a line feed
 * @property next cursor of the page after this one, or null for the last page
 */
internal data class ResultPage(
    val lines: String,
    val next: String?,
)
