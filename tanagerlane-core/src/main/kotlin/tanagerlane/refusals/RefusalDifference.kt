package tanagerlane.refusals

/**
 * A kind of refusal whose count in the object API differs from the count that callers received.
 *
 * [stored] can exceed [received] when callers had disconnected; when it is lower, refusals were lost.
 */
public data class RefusalDifference(
    val refusal: Refusal,
    val stored: Long,
    val received: Long,
) {
    /** Number of refusals that callers received but that are not stored. */
    public val lost: Long get() = maxOf(received - stored, 0)
}
