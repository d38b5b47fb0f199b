package tanagerlane.cli.experiment

/**
 * How requests arrive and what fails while rates are measured.
 *
 * @property weights share of the arrivals at each entry
 * @property load arrivals of each workspace as a part of its rate
 * @property greedyLoad arrivals of the first workspace as a part of its rate
 * @property storeFails whether the object API goes down for the rest of the run
 * @property entryFails whether the last entry is killed
 */
public data class LimitsScenario(
    val name: String,
    val weights: List<Int>,
    val load: Double = 0.9,
    val greedyLoad: Double = load,
    val storeFails: Boolean = false,
    val entryFails: Boolean = false,
)
