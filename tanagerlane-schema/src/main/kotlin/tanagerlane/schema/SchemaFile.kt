package tanagerlane.schema

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.toml.TomlMapper
import java.nio.file.Path

/** One schema file: a package and the types that are generated into it. */
public data class SchemaFile(
    val packageName: String,
    val types: List<SchemaType>,
) {
    public companion object {
        /** Reads the TOML at [path]; throws [IllegalArgumentException] when a required part is missing. */
        public fun read(path: Path): SchemaFile {
            val root = TomlMapper().readTree(path.toFile())
            val types = root.path("types").properties().map { (name, node) -> readType(name, node) }
            return SchemaFile(packageName = text(root, "package", path.toString()), types = types)
        }
    }
}

private fun readType(
    name: String,
    node: JsonNode,
): SchemaType =
    SchemaType(
        name = name,
        kind = kindOf(node.path("kind").asText("data"), name),
        documentation = text(node, "documentation", name),
        parent = node.path("implements").textValue(),
        wraps = node.path("wraps").textValue(),
        constants = node.path("constants").map { readConstant(name, it) },
        fields = node.path("fields").map { readField(name, it) },
    )

private fun kindOf(
    text: String,
    typeName: String,
): SchemaKind {
    val kind = SchemaKind.entries.find { it.name.equals(text, ignoreCase = true) }
    return requireNotNull(kind) { "type $typeName has unknown kind $text" }
}

private fun readConstant(
    typeName: String,
    node: JsonNode,
): SchemaConstant =
    SchemaConstant(
        name = text(node, "name", typeName),
        documentation = text(node, "documentation", typeName),
    )

private fun readField(
    typeName: String,
    node: JsonNode,
): SchemaField =
    SchemaField(
        name = text(node, "name", typeName),
        type = text(node, "type", typeName),
        documentation = text(node, "documentation", typeName),
        default = node.path("default").textValue(),
    )

private fun text(
    node: JsonNode,
    field: String,
    owner: String,
): String = requireNotNull(node.path(field).textValue()) { "$owner lacks $field" }
