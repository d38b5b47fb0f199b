package tanagerlane.jobs

import tanagerlane.batch.HeldChunk

/** A chunk that this process has claimed, as it is right after the claim. */
internal data class ChunkClaim(
    val job: OpenJob,
    val chunk: Int,
    val held: HeldChunk,
)
