package tanagerlane.schema

import com.squareup.kotlinpoet.BOOLEAN
import com.squareup.kotlinpoet.ClassName
import com.squareup.kotlinpoet.DOUBLE
import com.squareup.kotlinpoet.INT
import com.squareup.kotlinpoet.LIST
import com.squareup.kotlinpoet.LONG
import com.squareup.kotlinpoet.MAP
import com.squareup.kotlinpoet.ParameterizedTypeName.Companion.parameterizedBy
import com.squareup.kotlinpoet.STRING
import com.squareup.kotlinpoet.TypeName

/** Resolves the type expressions of schema fields against the types of all [files]. */
internal class TypeNames(
    files: List<SchemaFile>,
) {
    private val declared =
        files.flatMap { file -> file.types.map { it.name to ClassName(file.packageName, it.name) } }.toMap()

    fun resolve(expression: String): TypeName {
        val text = expression.trim()
        return when {
            text.endsWith("?") -> resolve(text.dropLast(1)).copy(nullable = true)
            text.startsWith("List<") -> LIST.parameterizedBy(resolve(argument(text)))
            text.startsWith("Map<") -> mapOf(argument(text))
            else -> simple(text)
        }
    }

    private fun mapOf(arguments: String): TypeName {
        val key = resolve(arguments.substringBefore(','))
        val value = resolve(arguments.substringAfter(','))
        return MAP.parameterizedBy(key, value)
    }

    private fun argument(text: String): String = text.substringAfter('<').substringBeforeLast('>')

    private fun simple(text: String): TypeName {
        val type = BUILT_IN[text] ?: declared[text]
        return requireNotNull(type) { "unknown type $text" }
    }

    private companion object {
        val BUILT_IN: Map<String, TypeName> =
            mapOf(
                "Boolean" to BOOLEAN,
                "Double" to DOUBLE,
                "Int" to INT,
                "Long" to LONG,
                "String" to STRING,
                "Duration" to ClassName("kotlin.time", "Duration"),
                "Instant" to ClassName("kotlin.time", "Instant"),
                "Payload" to ClassName("tanagerlane.model", "Payload"),
            )
    }
}
