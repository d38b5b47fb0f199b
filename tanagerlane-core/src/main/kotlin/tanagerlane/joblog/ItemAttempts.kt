package tanagerlane.joblog

/**
 * Failed attempts of one item.
 *
 * @property failures attempts that a target answered with an error of its own
 * @property isImpossible whether a target said that the item can never be done
 */
public data class ItemAttempts(
    val failures: Int = 0,
    val isImpossible: Boolean = false,
) {
    /** Whether the item is to be given up where [allowed] attempts may fail. */
    public fun isExhausted(allowed: Int): Boolean = isImpossible || failures >= allowed
}
