package tanagerlane.evacuation

import tanagerlane.model.FailureDomain
import tanagerlane.places.DirectTarget
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Evacuations in force: failure domains to whose targets nothing new is sent.
 *
 * @property since time at which this process learned of each evacuation, by failure domain
 */
public data class Evacuations(
    val since: Map<FailureDomain, Instant> = emptyMap(),
) {
    /** Returns the evacuations after exactly those of [domains] were found in force at [now]. */
    public fun updated(
        domains: Collection<FailureDomain>,
        now: Instant,
    ): Evacuations = Evacuations(domains.associateWith { since[it] ?: now })

    /** Returns those of [targets] to which new requests may be sent. */
    public fun permitted(targets: List<DirectTarget>): List<DirectTarget> =
        if (since.isEmpty()) targets else targets.filter { it.failureDomain !in since }

    /** Returns the time for which this process has known of each evacuation. */
    public fun ages(now: Instant): Map<FailureDomain, Duration> = since.mapValues { now - it.value }

    /** Returns the evacuations of failure domains that are not in [known], which have no effect. */
    public fun unknown(known: Set<FailureDomain>): Set<FailureDomain> = since.keys - known
}
