package tanagerlane.schema

/**
 * A type to generate.
 *
 * @property parent name of the sealed interface that the type implements, if any
 * @property wraps name of the wrapped type; only for [SchemaKind.VALUE]
 * @property constants members; only for [SchemaKind.ENUM]
 * @property fields constructor properties; only for [SchemaKind.DATA]
 */
public data class SchemaType(
    val name: String,
    val kind: SchemaKind,
    val documentation: String,
    val parent: String?,
    val wraps: String?,
    val constants: List<SchemaConstant>,
    val fields: List<SchemaField>,
)
