package tanagerlane.cli.experiment

import tanagerlane.model.WorkspaceName
import kotlin.time.Duration

/**
 * What one run of an experiment gave.
 *
 * @property latencies first-token latencies of online requests by workspace
 * @property onlineTokens tokens produced for online requests by workspace
 */
internal data class QueueingOutcome(
    val length: Duration,
    val latencies: Map<WorkspaceName, List<Duration>>,
    val refused: Int,
    val onlineTokens: Map<WorkspaceName, Int>,
    val batchItems: Int,
    val batchTokens: Int,
    val preemptions: Int,
) {
    /** Online requests that were answered. */
    val answered: Int get() = latencies.values.sumOf { it.size }

    /** Returns the latency that [share] of the online requests of [workspaces] stay within. */
    fun latency(
        share: Double,
        workspaces: Set<WorkspaceName> = latencies.keys,
    ): Duration {
        val sorted = workspaces.flatMap { latencies[it].orEmpty() }.sorted()
        return if (sorted.isEmpty()) Duration.ZERO else sorted[((sorted.size - 1) * share).toInt()]
    }
}
