package tanagerlane.orders

import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * A version of an order and the time since when this process has observed it.
 *
 * A holder never extends a claim without writing a new version. So if a conditional update still finds the same version
 * after the term has passed on this process's clock, the claim has expired on the holder's clock too.
 *
 * @property since time of the first observation of [version] on this process's clock
 */
public data class OrderObservation(
    val version: ObjectVersion,
    val since: Instant,
) {
    /** Records that the order was observed at [version]. */
    public fun observed(
        version: ObjectVersion,
        now: Instant,
    ): OrderObservation = if (version == this.version) this else OrderObservation(version, now)

    /** Returns the remainder of [term]; zero or negative once the term has passed. */
    public fun remaining(
        term: Duration,
        now: Instant,
    ): Duration = since + term - now
}
