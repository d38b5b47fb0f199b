package tanagerlane.routing

/**
 * Lets retries be only a share of first attempts, so that they do not add to an overload. Safe for use by several
 * threads.
 *
 * @param ratio retries for each first attempt
 * @param maximum most retries that may be saved up
 */
public class RetryBudget(
    private val ratio: Double,
    private val maximum: Double = 20.0,
) {
    private var tokens = maximum

    init {
        require(ratio >= 0.0) { "negative ratio: $ratio" }
    }

    /** Notes a first attempt. */
    @Synchronized
    public fun firstAttempt() {
        tokens = minOf(tokens + ratio, maximum)
    }

    /** Takes a retry out of the budget; false when there is none left. */
    @Synchronized
    public fun tryRetry(): Boolean {
        val allowed = tokens >= 1.0
        if (allowed) {
            tokens -= 1.0
        }
        return allowed
    }
}
