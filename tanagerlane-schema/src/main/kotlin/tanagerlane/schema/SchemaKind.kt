package tanagerlane.schema

/** The form that a generated type takes. */
public enum class SchemaKind {
    /** A data class, or a data object where there are no fields. */
    DATA,

    /** An enum class. */
    ENUM,

    /** A sealed interface that other types implement. */
    SEALED,

    /** A value class around one property. */
    VALUE,
}
