package tanagerlane.limits

import tanagerlane.message.TokenId
import tanagerlane.model.HostName
import tanagerlane.model.Incarnation
import kotlin.time.Duration
import kotlin.time.Instant

/** One bucket that decides on all requests of the fleet: the fewest refusals that the rate allows. */
internal class SingleBucket(
    rate: Rate,
) {
    private val start = Instant.fromEpochSeconds(0)
    private val share = Share(rate.perSecond, rate.burst)
    private val bucket = TokenBucket(start)
    private var requests = 0L
    val refusals = mutableListOf<Duration>()

    fun request(at: Duration) {
        requests += 1
        bucket.refill(share, start + at)
        if (!bucket.take(TokenId(HostName("single"), Incarnation(1), requests), expiresAt = start + at)) {
            refusals += at
        }
    }
}
