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
 * @property stallTerm time without any progress after which a held chunk is released
 * @property listingInterval time for which a listing of a job's chunks is used again
 * @property pause time between two tries of a call that the object API did not take, and between two looks for work
 * @property heldChunks most chunks that one process holds
 * @property windowItems most items that may run before the next checkpoint once a holder of the chunk was lost
 * @property resultRetention time for which the results of an ended job stay readable
 * @property expirySpread time over which processes begin to delete an expired job
 */
public data class BatchRules(
    val itemAttempts: Int = 3,
    val leaseTerm: Duration = 60.seconds,
    val checkpointInterval: Duration = 20.seconds,
    val stallTerm: Duration = 30.seconds,
    val listingInterval: Duration = 15.seconds,
    val pause: Duration = 5.seconds,
    val heldChunks: Int = 16,
    val windowItems: Int = 16,
    val resultRetention: Duration = 72.hours,
    val expirySpread: Duration = 1.hours,
) {
    init {
        require(itemAttempts in 1..MAXIMUM_ATTEMPTS) { "itemAttempts out of range: $itemAttempts" }
        require(checkpointInterval * 2 < leaseTerm) {
            "checkpointInterval $checkpointInterval leaves no margin within leaseTerm $leaseTerm"
        }
        require(heldChunks > 0) { "heldChunks must be positive: $heldChunks" }
        require(windowItems > 0) { "windowItems must be positive: $windowItems" }
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 100
    }
}
