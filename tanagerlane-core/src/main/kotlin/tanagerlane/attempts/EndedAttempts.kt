package tanagerlane.attempts

import tanagerlane.message.AttemptFailed
import tanagerlane.model.AttemptId
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState
import kotlin.time.Instant

/** Attempts that have ended and whose answers are no longer retained; guarded by the lock of a shard. */
internal class EndedAttempts(
    limits: AttemptLimits,
) {
    private val maximum = limits.maximumEndedAttempts / limits.shards
    private val knownUntil = HashMap<AttemptId, Instant>()

    /** Adds [attempt], which stays known until [until]; returns false if there is no room. */
    fun add(
        attempt: AttemptId,
        until: Instant,
    ): Boolean {
        val hasRoom = knownUntil.size < maximum
        if (hasRoom) {
            knownUntil[attempt] = until
        }
        return hasRoom
    }

    /** Returns what a sender is told that has not received the answer to [attempt], or null if it is not known. */
    fun failureOf(attempt: AttemptId): AttemptFailed? =
        if (attempt in knownUntil) {
            AttemptFailed(attempt, RunState.UNKNOWN, RefusalReason.OUTCOME_UNKNOWN)
        } else {
            null
        }

    fun expire(now: Instant) {
        knownUntil.values.removeIf { now >= it }
    }
}
