package tanagerlane.orders

import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * An order's version with the time since which this process has known it.
 *
 * A holder never extends a claim without a new version, so a claim whose version still stands in the conditional
 * update after its term has run out on this process's clock has run out on its holder's too.
 *
 * @property since first sighting of [version] on this process's clock
 */
public data class OrderObservation(
    val version: ObjectVersion,
    val since: Instant,
) {
    /** Notes that the order was seen at [version]. */
    public fun observed(
        version: ObjectVersion,
        now: Instant,
    ): OrderObservation = if (version == this.version) this else OrderObservation(version, now)

    /** Returns how much of [term] has yet to pass; zero or less once it has run out. */
    public fun remaining(
        term: Duration,
        now: Instant,
    ): Duration = since + term - now
}
