package tanagerlane.limits

/**
 * How much of the fleet of entries an entry can hear.
 *
 * @property known registered entries, this one included
 * @property reachable registered entries that reported recently, this one included
 */
public data class EntryFleet(
    val known: Int,
    val reachable: Int,
) {
    init {
        require(reachable in 1..known) { "reachable entries out of range: $reachable of $known" }
    }

    /** Part of a rate that the entries which hear each other may use. */
    internal val share: Double get() = reachable.toDouble() / known
}
