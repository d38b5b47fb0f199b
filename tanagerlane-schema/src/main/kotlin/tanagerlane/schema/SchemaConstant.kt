package tanagerlane.schema

/** A member of a generated enum. */
public data class SchemaConstant(
    val name: String,
    val documentation: String,
)
