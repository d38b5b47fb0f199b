package tanagerlane.places

/**
 * Places for online requests at the targets of one service.
 *
 * @property free places that no online request has
 * @property total all places
 */
public data class ServicePlaces(
    val free: Int,
    val total: Int,
)
