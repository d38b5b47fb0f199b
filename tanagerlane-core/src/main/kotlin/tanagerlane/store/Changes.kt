package tanagerlane.store

/**
 * Changes since a version, one for each object, the latest only.
 *
 * @property at version from which to watch on
 */
public data class Changes(
    val changes: List<ObjectChange>,
    val at: ObjectVersion,
)
