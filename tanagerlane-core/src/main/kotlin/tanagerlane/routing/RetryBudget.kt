package tanagerlane.routing

/**
 * Token bucket that limits retries to a share of first attempts, so that they do not amplify an overload. Thread-safe.
 *
 * @param ratio retries that each first attempt adds to the budget
 * @param maximum capacity of the budget in retries
 */
public class RetryBudget(
    private val ratio: Double,
    private val maximum: Double = 20.0,
) {
    private var tokens = maximum

    init {
        require(ratio >= 0.0) { "negative ratio: $ratio" }
    }

    /** Records a first attempt, which adds to the budget. */
    @Synchronized
    public fun firstAttempt() {
        tokens = minOf(tokens + ratio, maximum)
    }

    /** Takes one retry from the budget; returns false if it is exhausted. */
    @Synchronized
    public fun tryRetry(): Boolean {
        val isAllowed = tokens >= 1.0
        if (isAllowed) {
            tokens -= 1.0
        }
        return isAllowed
    }
}
