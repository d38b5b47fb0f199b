package tanagerlane.refusals

/**
 * A kind of refusal of which the object API and the callers tell different counts.
 *
 * More [stored] than [received] can be callers that had gone; fewer are refusals that were lost.
 */
public data class RefusalDifference(
    val refusal: Refusal,
    val stored: Long,
    val received: Long,
) {
    /** Refusals that callers heard and that are not recorded. */
    public val lost: Long get() = maxOf(received - stored, 0)
}
