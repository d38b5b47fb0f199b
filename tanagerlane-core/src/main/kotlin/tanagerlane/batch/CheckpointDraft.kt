package tanagerlane.batch

import tanagerlane.job.ChunkState
import tanagerlane.job.ItemResult
import tanagerlane.job.PageName

/** The objects that one checkpoint writes: first the pages, then the state that refers to them. */
public data class CheckpointDraft(
    val state: ChunkState,
    val pages: List<Page>,
) {
    /** A page of results. */
    public data class Page(
        val name: PageName,
        val results: List<ItemResult>,
    )
}
