package tanagerlane.batch

import tanagerlane.store.ObjectKey
import tanagerlane.store.ObjectVersion
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Versions of others' claims as this process has seen them, with the time for which each was seen unchanged.
 *
 * Only this process's own clock counts. The time between two sightings counts up to [maximumGap], so that an outage
 * of the object API, in which no holder can renew its claim, and a pause of this process add little.
 */
public data class LeaseObservations(
    private val maximumGap: Duration,
    private val seen: Map<ObjectKey, Observation> = emptyMap(),
) {
    /** Notes the versions of [claims] as they were read at [now]. */
    public fun observed(
        claims: Map<ObjectKey, ObjectVersion>,
        now: Instant,
    ): LeaseObservations = copy(seen = seen + claims.mapValues { (key, version) -> sighting(key, version, now) })

    /** Returns whether [key] was seen at [version] for the whole [term]. */
    public fun isExpired(
        key: ObjectKey,
        version: ObjectVersion,
        term: Duration,
    ): Boolean {
        val observation = seen[key] ?: return false
        return observation.version == version && observation.unchanged >= term
    }

    /** Drops the observations of keys below [prefix]. */
    public fun withoutPrefix(prefix: String): LeaseObservations =
        copy(seen = seen.filterKeys { !it.path.startsWith(prefix) })

    private fun sighting(
        key: ObjectKey,
        version: ObjectVersion,
        now: Instant,
    ): Observation {
        val earlier = seen[key]
        if (earlier == null || earlier.version != version) {
            return Observation(version, now, Duration.ZERO)
        }
        val gap = minOf(now - earlier.at, maximumGap)
        return Observation(version, now, earlier.unchanged + gap)
    }

    /** Latest sighting of a version and the time for which it has been seen unchanged. */
    public data class Observation(
        val version: ObjectVersion,
        val at: Instant,
        val unchanged: Duration,
    )
}
