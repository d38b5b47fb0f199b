package tanagerlane.attempts

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of an [AttemptTable].
 *
 * @property shards number of independently locked parts
 * @property maximumAttempts most attempts that are running or kept
 * @property maximumBytes most bytes of answers that are kept for resending
 * @property tombstoneBits bits that each shard spends on each of its two generations of tombstones
 * @property answerRetention time for which an ended attempt is kept at least
 * @property maximumOfferAge most time that may have passed since an offer was sent
 * @property tombstoneRetention time for which a tombstone is kept at least; longer than [maximumOfferAge]
 * @property deadlineMargin time for which an attempt is kept beyond its deadline
 * @property orphanTimeout time after which a running attempt without a connection is reported
 */
public data class AttemptLimits(
    val shards: Int = 16,
    val maximumAttempts: Int = 16_384,
    val maximumBytes: Long = 16L shl 20,
    val tombstoneBits: Int = 1 shl 17,
    val answerRetention: Duration = 30.seconds,
    val maximumOfferAge: Duration = 30.seconds,
    val tombstoneRetention: Duration = 60.seconds,
    val deadlineMargin: Duration = 10.seconds,
    val orphanTimeout: Duration = 30.seconds,
) {
    init {
        require(shards > 0) { "shards must be positive: $shards" }
        require(maximumAttempts >= shards) { "fewer attempts than shards: $maximumAttempts < $shards" }
        require(tombstoneRetention > maximumOfferAge) {
            "tombstones kept no longer than offers stay fresh: $tombstoneRetention <= $maximumOfferAge"
        }
    }
}
