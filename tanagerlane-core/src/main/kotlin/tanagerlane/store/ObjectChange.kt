package tanagerlane.store

/**
 * One change that was reported by a watch.
 *
 * @property current the object after the change, or null if it was deleted
 */
public data class ObjectChange(
    val key: ObjectKey,
    val current: StoredObject?,
)
