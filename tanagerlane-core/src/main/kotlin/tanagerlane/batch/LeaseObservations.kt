package tanagerlane.batch

import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Observed versions of other processes' claims, with the time for which each was seen unchanged.
 *
 * Only this process's own clock is used. The time between two observations counts up to [maximumGap], so that an outage
 * of the object API, during which no holder can renew its claim, or a pause of this process adds little.
 */
public data class LeaseObservations(
    private val maximumGap: Duration,
    private val seen: Map<ObjectKey, Observation> = emptyMap(),
) {
    /** Records the versions of [claims] as read at [now]. */
    public fun observed(
        claims: Map<ObjectKey, ObjectVersion>,
        now: Instant,
    ): LeaseObservations =
        copy(
            seen =
                seen + claims.mapValues { (key, version) -> updatedObservation(key, version, now) },
        )

    /** Returns whether [key] was observed at [version] for the whole [term]. */
    public fun isExpired(
        key: ObjectKey,
        version: ObjectVersion,
        term: Duration,
    ): Boolean {
        val observation = seen[key] ?: return false
        return observation.version == version && observation.unchangedFor >= term
    }

    /** Removes the observations of keys that start with [prefix]. */
    public fun withoutPrefix(prefix: String): LeaseObservations =
        copy(seen = seen.filterKeys { !it.path.startsWith(prefix) })

    private fun updatedObservation(
        key: ObjectKey,
        version: ObjectVersion,
        now: Instant,
    ): Observation {
        val earlier = seen[key]
        if (earlier == null || earlier.version != version) {
            return Observation(version, now, Duration.ZERO)
        }
        val gap = minOf(now - earlier.observedAt, maximumGap)
        return Observation(version, now, earlier.unchangedFor + gap)
    }

    /** Latest observation of a version and the time for which the version has been unchanged. */
    public data class Observation(
        val version: ObjectVersion,
        val observedAt: Instant,
        val unchangedFor: Duration,
    )
}
