package tanagerlane.batch

import tanagerlane.job.ChunkState
import tanagerlane.job.ItemResult
import tanagerlane.job.PageName

private const val PAGE_BYTES = 768 * 1024
private const val RESULT_OVERHEAD_BYTES = 128

/** Divides [results] into pages that each fit into one object. */
internal fun pagesOf(
    results: Map<Int, ItemResult>,
    state: ChunkState,
): List<CheckpointDraft.Page> =
    divided(results.toSortedMap().values).mapIndexed { place, page ->
        val sequence = state.pages.size + place
        CheckpointDraft.Page(PageName(epoch = state.epoch, sequence = sequence, results = page.size), page)
    }

private fun divided(results: Collection<ItemResult>): List<List<ItemResult>> {
    val pages = mutableListOf<MutableList<ItemResult>>()
    var room = 0
    for (result in results) {
        val bytes = result.body.size + result.customId.length * MAXIMUM_BYTES_PER_CHARACTER + RESULT_OVERHEAD_BYTES
        if (bytes > room) {
            pages += mutableListOf<ItemResult>()
            room = PAGE_BYTES
        }
        pages.last() += result
        room -= bytes
    }
    return pages
}

private const val MAXIMUM_BYTES_PER_CHARACTER = 3
