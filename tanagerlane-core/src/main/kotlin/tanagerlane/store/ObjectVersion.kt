package tanagerlane.store

/**
 * Version of an object.
 *
 * Versions of all objects come from one increasing sequence, so a later write to any object has a higher version.
 */
@JvmInline
public value class ObjectVersion(
    public val number: Long,
) : Comparable<ObjectVersion> {
    override fun compareTo(other: ObjectVersion): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    public companion object {
        /** Lower than the version of any object. */
        public val NONE: ObjectVersion = ObjectVersion(0)
    }
}
