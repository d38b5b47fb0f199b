package tanagerlane.limits

/**
 * Part of a rate that one bucket covers.
 *
 * @property perSecond tokens added a second
 * @property capacity maximum number of tokens, including outstanding ones
 */
internal data class Share(
    val perSecond: Double,
    val capacity: Int,
)
