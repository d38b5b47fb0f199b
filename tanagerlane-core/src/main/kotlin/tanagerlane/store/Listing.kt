package tanagerlane.store

/**
 * Objects below a prefix at one moment.
 *
 * @property at version from which a watch misses nothing that this listing lacks
 */
public data class Listing(
    val objects: List<StoredObject>,
    val at: ObjectVersion,
)
