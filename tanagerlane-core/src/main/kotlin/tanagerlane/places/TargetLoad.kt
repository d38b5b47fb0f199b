package tanagerlane.places

/**
 * Number of requests in flight to one target.
 *
 * @property online online requests
 * @property batch batch items
 */
public data class TargetLoad(
    val online: Int,
    val batch: Int,
) {
    /** Requests of both classes. */
    public val total: Int get() = online + batch
}
