package tanagerlane.idempotency

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/**
 * Bounds of claims.
 *
 * @property shards objects among which all claims are divided; the same on all hosts
 * @property retention time for which a claim is kept, on the clocks of the hosts
 * @property maximumWaiting most requests of one shard that wait for the object API
 * @property maximumClaims most claims of one shard; beyond them requests are refused
 * @property maximumAnswerBytes largest body that is kept with its claim
 */
public data class ClaimSettings(
    val shards: Int = 1024,
    val retention: Duration = 24.hours,
    val maximumWaiting: Int = 256,
    val maximumClaims: Int = 2000,
    val maximumAnswerBytes: Int = 256,
)
