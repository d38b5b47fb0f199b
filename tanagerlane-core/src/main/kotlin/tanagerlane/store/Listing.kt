package tanagerlane.store

/**
 * Snapshot of the objects below a prefix.
 *
 * @property at version of the snapshot; a watch from it reports every change that is not in the listing
 */
public data class Listing(
    val objects: List<StoredObject>,
    val at: ObjectVersion,
)
