package tanagerlane.limits

/**
 * How much of the fleet of entries an entry can hear.
 *
 * @property known entries that have registered, the own one included
 * @property heard those that were heard of lately, the own one included
 */
public data class EntryFleet(
    val known: Int,
    val heard: Int,
) {
    init {
        require(heard in 1..known) { "heard entries out of range: $heard of $known" }
    }

    /** Part of a rate that the entries which hear each other may use. */
    internal val share: Double get() = heard.toDouble() / known
}
