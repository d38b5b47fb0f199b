package tanagerlane.batch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on claims and attempts.
 *
 * @property itemAttempts times that an item may fail, and times that its holder may be lost, before it is given up
 * @property leaseTerm time that a claim must be seen unchanged before another process takes it over
 * @property checkpointInterval longest time between two checkpoints of a held chunk
 * @property stallTimeout time without any progress after which a held chunk is released
 * @property listingInterval time for which a listing of a job's chunks is used again
 * @property retryInterval time between two tries of a call that the object API did not take, and between two looks for work
 * @property maximumHeldChunks most chunks that one process holds
 * @property maximumWindowItems most items that may run before the next checkpoint once a holder of the chunk was lost
 * @property resultRetention time for which the results of an ended job stay readable
 * @property expiryJitter time over which processes begin to delete an expired job
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
