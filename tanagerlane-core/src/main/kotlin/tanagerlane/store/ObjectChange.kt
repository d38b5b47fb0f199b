package tanagerlane.store

/**
 * One change that a watch reported.
 *
 * @property current the object after the change, or null when it was deleted
 */
public data class ObjectChange(
    val key: ObjectKey,
    val current: StoredObject?,
)
