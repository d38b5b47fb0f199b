package tanagerlane.limits

/**
 * Number of entries in the fleet and how many of them an entry receives reports from.
 *
 * @property known registered entries, this one included
 * @property reachable registered entries that reported recently, this one included
 */
public data class EntryFleet(
    val known: Int,
    val reachable: Int,
) {
    init {
        require(reachable in 1..known) { "number of reachable entries is out of range: $reachable of $known" }
    }

    /** Fraction of a rate that the reachable entries may use together. */
    internal val share: Double get() = reachable.toDouble() / known
}
