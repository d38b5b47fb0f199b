package tanagerlane.attempts

import tanagerlane.message.AttemptFailed
import tanagerlane.model.AttemptId
import tanagerlane.routing.StableHash
import kotlin.time.Instant

/** Attempts that did not run and must never run; guarded by the lock of a shard. */
internal class NotRunAttempts(
    limits: AttemptLimits,
) {
    private val tombstones = TombstoneFilter(limits.tombstoneBits, limits.tombstoneRetention)
    private val maximumFailures = limits.maximumAttempts / limits.shards
    private val failures = LinkedHashMap<AttemptId, AttemptFailed>()

    fun add(
        attempt: AttemptId,
        now: Instant,
    ) = tombstones.add(hash(attempt), now)

    /** Retains [failure] for a sender that has not received it; evicting the oldest leaves its tombstone in place. */
    fun add(
        failure: AttemptFailed,
        now: Instant,
    ) {
        add(failure.attempt, now)
        failures[failure.attempt] = failure
        if (failures.size > maximumFailures) {
            failures.remove(failures.keys.first())
        }
    }

    fun failureOf(attempt: AttemptId): AttemptFailed? = failures[attempt]

    fun contains(
        attempt: AttemptId,
        now: Instant,
    ): Boolean = tombstones.contains(hash(attempt), now)

    private fun hash(attempt: AttemptId): Long = StableHash.mix(StableHash.of(attempt.request.text) + attempt.number)
}
