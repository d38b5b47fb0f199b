package tanagerlane.cli.experiment

import java.util.Locale

/** Results of [limitsExperiment]. */
public data class LimitsReport(
    val seed: Int,
    val rows: List<LimitsRow>,
) {
    /** Formats the rows as a table of fixed width. */
    public fun table(): String {
        val heading = format("scenario", "mechanism", "requests", "within", "wrongly", "part", "greedy", "overrun")
        return (listOf("seed $seed", heading) + rows.map(::line)).joinToString("\n")
    }

    private fun line(row: LimitsRow): String =
        format(
            row.scenario,
            row.mechanism,
            row.requests,
            row.within,
            row.wronglyRefused,
            "%.3f %%".format(Locale.ROOT, PERCENT * row.wrongPart),
            row.greedyShare?.let { "%.3f".format(Locale.ROOT, it) } ?: "-",
            "%.1f".format(Locale.ROOT, row.worstOverrun.coerceAtLeast(0.0)),
        )

    private fun format(vararg cells: Any): String = LINE.format(Locale.ROOT, *cells)

    private companion object {
        const val LINE = "%-34s %-12s %9s %9s %8s %10s %8s %9s"
        const val PERCENT = 100.0
    }
}
