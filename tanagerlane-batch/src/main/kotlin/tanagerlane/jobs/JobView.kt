package tanagerlane.jobs

import tanagerlane.job.ChunkState
import kotlin.time.Instant

/**
 * The chunk states of a job as they were last listed.
 *
 * @property statePrefix prefix of the chunk states
 * @property taken chunks that were found taken, or were claimed, since then
 */
internal data class JobView(
    val statePrefix: String,
    val listedAt: Instant,
    val states: Map<Int, Versioned<ChunkState>>,
    val taken: Set<Int> = emptySet(),
)
