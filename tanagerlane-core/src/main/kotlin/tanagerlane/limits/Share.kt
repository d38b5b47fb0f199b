package tanagerlane.limits

/**
 * The part of a rate that one bucket counts.
 *
 * @property perSecond tokens added a second
 * @property capacity most tokens, those outstanding included
 */
internal data class Share(
    val perSecond: Double,
    val capacity: Int,
)
