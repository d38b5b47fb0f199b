package tanagerlane.joblog

import tanagerlane.model.RequestId
import kotlin.time.Instant

/**
 * A job and its stored results.
 *
 * Results are appended in numbered pages, and a page can be created only once, under the next number. A process that
 * creates a page has read all pages before it, so no item is listed twice, even if several processes run the same job.
 *
 * @property listed results in the order of their positions
 * @property pages number of pages that contain [listed]
 * @property isEnded whether the client ended the job
 */
public data class JobLog(
    val record: JobRecord,
    val items: List<RawItem>,
    val listed: List<ListedResult> = emptyList(),
    val pages: Int = 0,
    val isEnded: Boolean = false,
) {
    private val listedIds: Set<RequestId> = listed.mapTo(HashSet()) { it.id }

    /** Items without a listed result. */
    public val pending: List<RawItem> get() = items.filter { it.id !in listedIds }

    /** Tokens of the items without a listed result, or 0 if the job was ended. */
    public val pendingTokens: Long get() = if (isEnded) 0 else pending.sumOf { it.tokens }

    /** Whether every item has a listed result, so that no page can follow. */
    public val isComplete: Boolean get() = listed.size == items.size

    /** Whether nothing is left to run. */
    public val isFinished: Boolean get() = isEnded || isComplete

    /** Returns this log with [results] appended as its next page. */
    public fun withPage(results: List<ListedResult>): JobLog = copy(listed = listed + results, pages = pages + 1)

    /** Returns this log with its pages replaced by [pages]. */
    public fun withAllPages(pages: List<List<ListedResult>>): JobLog =
        pages.fold(copy(listed = emptyList(), pages = 0)) { log, page -> log.withPage(page) }

    /** Returns the [results] whose items have no listed result yet, one for each item. */
    public fun listable(results: Collection<ListedResult>): List<ListedResult> =
        results.filter { it.id !in listedIds }.distinctBy { it.id }

    /** Whether items without a result may be given up at [now]. */
    public fun mayAbandon(now: Instant): Boolean = now >= record.keepUntil

    override fun toString(): String = "JobLog(job=${record.job}, items=${items.size}, listed=${listed.size})"
}
