package tanagerlane.attempts

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of an [AttemptTable].
 *
 * @property shards number of independently locked shards
 * @property maximumAttempts maximum number of attempts that are running or retained
 * @property maximumEndedAttempts maximum number of ended attempts that stay known although they gave way to new ones
 * @property maximumBytes maximum total bytes of answers retained for resending
 * @property tombstoneBits size in bits of each of the two tombstone generations of a shard
 * @property answerRetention minimum time for which an ended attempt is retained unless it gives way to a new one
 * @property maximumOfferAge maximum time since an offer was sent; older offers are refused
 * @property tombstoneRetention minimum time for which a tombstone is retained; longer than [maximumOfferAge]
 * @property deadlineMargin time for which an attempt is retained beyond its deadline
 * @property orphanTimeout time after which a running attempt without a connection is reported
 */
public data class AttemptLimits(
    val shards: Int = 16,
    val maximumAttempts: Int = 16_384,
    val maximumEndedAttempts: Int = 32_768,
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
        require(maximumAttempts >= shards) {
            "maximumAttempts must not be less than shards: $maximumAttempts < $shards"
        }
        require(tombstoneRetention > maximumOfferAge) {
            "tombstoneRetention must exceed maximumOfferAge: $tombstoneRetention <= $maximumOfferAge"
        }
    }
}
