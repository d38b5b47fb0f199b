package tanagerlane.cli.experiment

import tanagerlane.model.WorkspaceName
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Outcomes side by side, all with the same arrivals.
 *
 * @property greedy the workspace that sends more than the others
 * @property entitlement tokens that each workspace would get by an equal division of what the engine can do, and no
 * more than it asked for
 */
internal data class QueueingReport(
    val seed: Long,
    val online: QueueingOutcome,
    val yielding: QueueingOutcome,
    val direct: QueueingOutcome,
    val batchOnly: QueueingOutcome,
    val fair: QueueingOutcome,
    val firstComeFirstServed: QueueingOutcome,
    val entitlement: Map<WorkspaceName, Double>,
    val greedy: WorkspaceName,
) {
    /** Latency at the 99th percentile with batch that yields, as a multiple of that without batch. */
    val latencyRatio: Double get() = yielding.latency(P99) / online.latency(P99)

    /** Part of the otherwise idle capacity that batch used, by tokens. */
    val idleCapacityUsed: Double get() = yielding.batchTokens / idleTokens

    private val idleTokens: Double
        get() = (batchOnly.batchTokens - online.onlineTokens.values.sum()).toDouble()

    /** Returns the least share of its entitlement that any workspace got in [outcome]. */
    fun worstShare(outcome: QueueingOutcome): Double =
        entitlement.minOf { (workspace, tokens) -> (outcome.onlineTokens[workspace] ?: 0) / tokens }

    /** Returns the report as a table. */
    fun table(): String =
        listOf(
            "seed $seed, ${online.length} of virtual time each, ${online.answered} online requests",
            "run                      p50 ms   p99 ms   batch items/s  batch tokens/s  preemptions",
            row("online only", online),
            row("batch that yields", yielding),
            row("batch without yielding", direct),
            row("batch only", batchOnly),
            format("p99 with yielding batch / p99 without batch: %.3f", latencyRatio),
            format(
                "p99 with batch without yielding / p99 without batch: %.3f",
                direct.latency(P99) / online.latency(P99),
            ),
            format("otherwise idle capacity used by batch that yields: %.3f", idleCapacityUsed),
            "one workspace of ${entitlement.size} at five times its rate",
            fairness("fair queue", fair),
            fairness("one line", firstComeFirstServed),
        ).joinToString("\n")

    private fun row(
        name: String,
        outcome: QueueingOutcome,
    ): String =
        format(
            "%-22s %8.1f %8.1f %15.2f %15.1f %12d",
            name,
            milliseconds(outcome.latency(P50)),
            milliseconds(outcome.latency(P99)),
            outcome.batchItems / seconds(outcome.length),
            outcome.batchTokens / seconds(outcome.length),
            outcome.preemptions,
        )

    private fun fairness(
        name: String,
        outcome: QueueingOutcome,
    ): String =
        format(
            "%-22s worst share of entitlement %.3f, p99 of the others %.1f ms, %d refused",
            name,
            worstShare(outcome),
            milliseconds(outcome.latency(P99, entitlement.keys - greedy)),
            outcome.refused,
        )

    private fun milliseconds(duration: Duration) = duration.toDouble(DurationUnit.MILLISECONDS)

    private fun seconds(duration: Duration) = duration.toDouble(DurationUnit.SECONDS)

    private fun format(
        pattern: String,
        vararg values: Any,
    ): String = String.format(Locale.ROOT, pattern, *values)

    private companion object {
        const val P50 = 0.50
        const val P99 = 0.99
    }
}
