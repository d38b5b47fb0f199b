package tanagerlane.cli.experiment

/**
 * What one mechanism did in one scenario, all workspaces together.
 *
 * @property requests requests of workspaces that stay below their rate
 * @property within how many of those a single bucket for each workspace would have admitted
 * @property wronglyRefused how many of [within] were refused
 * @property greedyShare requests admitted of a workspace above its rate, as a part of what a single bucket would have
 *   admitted; null where no workspace is above its rate
 * @property worstOverrun most requests by which any window of a workspace exceeded rate times length plus burst
 */
public data class LimitsRow(
    val scenario: String,
    val mechanism: String,
    val requests: Int,
    val within: Int,
    val wronglyRefused: Int,
    val greedyShare: Double?,
    val worstOverrun: Double,
) {
    /** Part of the requests within their rate that were refused. */
    public val wrongPart: Double get() = wronglyRefused.toDouble() / within
}
