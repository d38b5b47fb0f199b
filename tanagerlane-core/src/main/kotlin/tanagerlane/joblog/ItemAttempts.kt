package tanagerlane.joblog

/**
 * Failed attempts of one item.
 *
 * @property failures attempts that the target answered with an error
 * @property isImpossible whether a target reported a permanent error, so that no retry can succeed
 */
public data class ItemAttempts(
    val failures: Int = 0,
    val isImpossible: Boolean = false,
) {
    /** Whether the item must be given up when [allowed] attempts may fail. */
    public fun isExhausted(allowed: Int): Boolean = isImpossible || failures >= allowed
}
