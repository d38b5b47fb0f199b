package tanagerlane.callers

import tanagerlane.serving.CallerLimits
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Limits on one connection of a caller. Callers within the configured [CallerLimits] never reach them.
 *
 * @property maximumHeadBytes maximum size of the head of a request on the wire, in bytes
 * @property maximumFields maximum number of lines in the head of a request
 * @property headAllowance longest time without progress in a head
 * @property idleTimeout time after which a connection without a request is closed
 */
public data class ConnectionLimits(
    val maximumHeadBytes: Int,
    val maximumFields: Int,
    val headAllowance: Duration,
    val idleTimeout: Duration,
) {
    /** Returns the lease of a head that begins to arrive. */
    public fun headLease(now: Instant): ProgressLease = ProgressLease.begin(headAllowance, HEAD_BYTES_PER_SECOND, now)

    /** Returns the lease of a body that begins to arrive. */
    public fun bodyLease(now: Instant): ProgressLease =
        ProgressLease.begin(TRANSFER_ALLOWANCE, BODY_BYTES_PER_SECOND, now)

    /** Returns the lease of an answer that the caller begins to read. */
    public fun answerLease(now: Instant): ProgressLease =
        ProgressLease.begin(TRANSFER_ALLOWANCE, ANSWER_BYTES_PER_SECOND, now)

    /**
     * Whether the rest of a refused body is read, so that the connection can be used again.
     *
     * @param remainingBytes bytes that have not arrived, or null for a chunked body, which is read up to the bound
     */
    public fun drains(remainingBytes: Long?): Boolean =
        remainingBytes == null || remainingBytes <= MAXIMUM_DRAINED_BYTES

    public companion object {
        /** Bytes of a refused body that are read before the connection is closed. */
        public const val MAXIMUM_DRAINED_BYTES: Long = 1L shl 18

        /** Sound callers send a few tens of fields; each costs about a hundred bytes beside its text. */
        private const val MAXIMUM_FIELDS = 256
        private const val DEFAULT_HEAD_BYTES = 65_536

        /** Margin for the request line and line ends, which a configured maximum may not include. */
        private const val HEAD_MARGIN = 2
        private const val HEAD_BYTES_PER_SECOND = 100
        private const val BODY_BYTES_PER_SECOND = 1_000

        /** Events of a stream are small and seldom, and bytes move in steps of the caller's receive window. */
        private const val ANSWER_BYTES_PER_SECOND = 100
        private val DEFAULT_HEAD_ALLOWANCE = 10.seconds
        private val TRANSFER_ALLOWANCE = 10.seconds
        private val DEFAULT_IDLE_TIMEOUT = 60.seconds

        /** Multiple of a configured time that is allowed, since a busy process reads late. */
        private const val TIME_MARGIN = 2

        /** Returns the limits for the [configured] ones, or the defaults if there are none. */
        public fun of(configured: CallerLimits?): ConnectionLimits =
            ConnectionLimits(
                maximumHeadBytes = configured?.maximumHeaderBytes?.let { it * HEAD_MARGIN } ?: DEFAULT_HEAD_BYTES,
                maximumFields = MAXIMUM_FIELDS,
                headAllowance = configured?.headerTimeout?.let { it * TIME_MARGIN } ?: DEFAULT_HEAD_ALLOWANCE,
                idleTimeout = configured?.idleTimeout?.let { it * TIME_MARGIN } ?: DEFAULT_IDLE_TIMEOUT,
            )
    }
}
