package tanagerlane.places

/**
 * Requests of all processes at one target.
 *
 * @property online requests of callers
 * @property batch items of batch jobs
 */
public data class TargetLoad(
    val online: Int,
    val batch: Int,
) {
    /** All requests. */
    public val total: Int get() = online + batch
}
