package tanagerlane.idempotency

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/**
 * Limits of claims.
 *
 * @property shards number of objects over which all claims are sharded; must be the same on all hosts
 * @property retention time for which a claim is retained, by the wall clocks of the hosts
 * @property maximumWaiting maximum number of requests of one shard that wait for the object API
 * @property maximumClaims maximum number of claims of one shard; further requests are refused
 * @property maximumAnswerBytes maximum size in bytes of an answer body that is stored with its claim
 */
public data class ClaimSettings(
    val shards: Int = 1024,
    val retention: Duration = 24.hours,
    val maximumWaiting: Int = 256,
    val maximumClaims: Int = 2000,
    val maximumAnswerBytes: Int = 256,
)
