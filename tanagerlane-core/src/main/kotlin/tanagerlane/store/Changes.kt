package tanagerlane.store

/**
 * Changes since a version: only the latest change of each object.
 *
 * @property at version from which to continue the watch
 */
public data class Changes(
    val changes: List<ObjectChange>,
    val at: ObjectVersion,
)
