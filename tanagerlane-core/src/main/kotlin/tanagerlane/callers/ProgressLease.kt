package tanagerlane.callers

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Time that a transfer has left, which each byte extends.
 *
 * A transfer of at least [bytesPerSecond] never expires; a slower one does once it has fallen back by [allowance].
 *
 * @property allowance longest time that a transfer may make no progress
 * @property bytesPerSecond rate from which on the lease does not get shorter, in bytes a second
 */
public data class ProgressLease(
    val allowance: Duration,
    val bytesPerSecond: Int,
    private val expiresAt: Instant,
) {
    /** Returns the lease after [bytes] more were transferred. */
    public fun afterProgress(
        bytes: Long,
        now: Instant,
    ): ProgressLease {
        val seconds = bytes.toDouble() / bytesPerSecond
        return copy(expiresAt = minOf(now + allowance, expiresAt + seconds.seconds))
    }

    /** Whether the transfer is to be ended. */
    public fun isExpired(now: Instant): Boolean = now >= expiresAt

    public companion object {
        /** Returns the lease of a transfer that begins. */
        public fun begin(
            allowance: Duration,
            bytesPerSecond: Int,
            now: Instant,
        ): ProgressLease = ProgressLease(allowance, bytesPerSecond, now + allowance)
    }
}
