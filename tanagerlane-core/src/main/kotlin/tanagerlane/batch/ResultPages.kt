package tanagerlane.batch

import tanagerlane.job.ChunkState
import tanagerlane.job.ItemResult
import tanagerlane.job.PageName

private const val PAGE_BYTES = 768 * 1024
private const val RESULT_OVERHEAD_BYTES = 128

/** Splits [results] into pages, each of which fits into one object. */
internal fun pagesOf(
    results: Map<Int, ItemResult>,
    state: ChunkState,
): List<CheckpointDraft.Page> =
    splitIntoPages(results.toSortedMap().values).mapIndexed { index, page ->
        val sequence = state.pages.size + index
        CheckpointDraft.Page(PageName(epoch = state.epoch, sequence = sequence, results = page.size), page)
    }

private fun splitIntoPages(results: Collection<ItemResult>): List<List<ItemResult>> {
    val pages = mutableListOf<MutableList<ItemResult>>()
    var remainingBytes = 0
    for (result in results) {
        val bytes = result.body.size + result.customId.length * MAXIMUM_BYTES_PER_CHARACTER + RESULT_OVERHEAD_BYTES
        if (bytes > remainingBytes) {
            pages += mutableListOf<ItemResult>()
            remainingBytes = PAGE_BYTES
        }
        pages.last() += result
        remainingBytes -= bytes
    }
    return pages
}

private const val MAXIMUM_BYTES_PER_CHARACTER = 3
