package tanagerlane.runtime

/**
 * A stored object that could not be read.
 *
 * @property type name of the type that was expected
 */
public data class DocumentFault(
    val type: String,
    val cause: String,
)
