package tanagerlane.store

/** Name of an object: segments of letters, digits, `.`, `_` and `-`, separated by slashes. */
@JvmInline
public value class ObjectKey(
    public val path: String,
) {
    init {
        require(PATTERN.matches(path)) { "invalid object key: $path" }
    }

    override fun toString(): String = path

    private companion object {
        val PATTERN: Regex = Regex("[A-Za-z0-9._-]+(/[A-Za-z0-9._-]+)*")
    }
}
