package tanagerlane.batch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/**
 * Limits and intervals for claims, checkpoints, attempts and the deletion of batch jobs.
 *
 * @property itemAttempts number of failures, and number of lost holders, after which an item is given up
 * @property leaseTerm time for which a claim must be observed unchanged before another process takes it over
 * @property checkpointInterval longest time between two checkpoints of a held chunk
 * @property stallTimeout time without progress after which a held chunk is released
 * @property listingInterval time for which a listing of a job's chunks is reused
 * @property retryInterval time between two attempts of a call that the object API did not accept, and between two polls
 * for work
 * @property maximumHeldChunks maximum number of chunks that one process holds
 * @property maximumWindowItems maximum number of items that may run before the next checkpoint once a holder of the
 * chunk was lost
 * @property resultRetention time for which the results of an ended job are kept
 * @property expiryJitter interval over which processes spread the deletion of an expired job
 */
public data class BatchRules(
    val itemAttempts: Int = 3,
    val leaseTerm: Duration = 60.seconds,
    val checkpointInterval: Duration = 20.seconds,
    val stallTimeout: Duration = 30.seconds,
    val listingInterval: Duration = 15.seconds,
    val retryInterval: Duration = 5.seconds,
    val maximumHeldChunks: Int = 16,
    val maximumWindowItems: Int = 16,
    val resultRetention: Duration = 72.hours,
    val expiryJitter: Duration = 1.hours,
) {
    init {
        require(itemAttempts in 1..MAXIMUM_ATTEMPTS) { "itemAttempts out of range: $itemAttempts" }
        require(checkpointInterval * 2 < leaseTerm) {
            "checkpointInterval $checkpointInterval leaves no margin within leaseTerm $leaseTerm"
        }
        require(maximumHeldChunks > 0) { "maximumHeldChunks must be positive: $maximumHeldChunks" }
        require(maximumWindowItems > 0) { "maximumWindowItems must be positive: $maximumWindowItems" }
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 100
    }
}
