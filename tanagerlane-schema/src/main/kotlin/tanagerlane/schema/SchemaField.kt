package tanagerlane.schema

/**
 * A constructor property.
 *
 * @property type a Kotlin type: `List<Name>`, `Map<Key, Value>` and a trailing `?` are understood
 * @property default a Kotlin expression, or null where the property is required
 */
public data class SchemaField(
    val name: String,
    val type: String,
    val documentation: String,
    val default: String?,
)
