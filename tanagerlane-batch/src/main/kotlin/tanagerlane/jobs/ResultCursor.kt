package tanagerlane.jobs

/** Place of a page among the results of a job. */
public data class ResultCursor(
    val chunk: Int,
    val page: Int,
) {
    public companion object {
        /** The first page. */
        public val START: ResultCursor = ResultCursor(chunk = 0, page = 0)
    }
}
