@file:OptIn(ExperimentalSerializationApi::class)

package tanagerlane.configuration

import com.fasterxml.jackson.databind.JsonNode
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.serializer
import kotlin.time.Duration

private val DURATION_NAME = serializer<Duration>().descriptor.serialName

/**
 * Checks a parsed document against the descriptor of the class into which it is decoded.
 *
 * The returned element can always be decoded: a faulty value is replaced by a placeholder, so that the semantic checks
 * can run on the rest of the document.
 */
internal class StructureCheck(
    private val faults: FaultCollector,
) {
    fun check(
        node: JsonNode,
        descriptor: SerialDescriptor,
        path: String,
    ): JsonElement =
        when {
            descriptor.isInline -> check(node, descriptor.getElementDescriptor(0), path)
            isDuration(descriptor) -> duration(node, path)
            descriptor.kind == StructureKind.CLASS -> fields(node, descriptor, path)
            descriptor.kind == StructureKind.LIST -> list(node, descriptor, path)
            descriptor.kind == SerialKind.ENUM -> constant(node, descriptor, path)
            else -> primitive(node, descriptor, path)
        }

    private fun fields(
        node: JsonNode,
        descriptor: SerialDescriptor,
        path: String,
    ): JsonElement {
        if (!node.isObject) {
            faults.wrongType(path, "a table", typeOf(node))
            return placeholder(descriptor)
        }
        val names = descriptor.elementNames.toList()
        for (name in node.fieldNames()) {
            if (name !in names) {
                faults.unknownField(childPath(path, name), names)
            }
        }
        val present =
            names.indices.mapNotNull { index ->
                field(node, descriptor, index, path)?.let { names[index] to it }
            }
        return JsonObject(present.toMap())
    }

    private fun field(
        node: JsonNode,
        descriptor: SerialDescriptor,
        index: Int,
        path: String,
    ): JsonElement? {
        val name = descriptor.getElementName(index)
        val value = node.get(name)
        return when {
            value != null -> {
                check(value, descriptor.getElementDescriptor(index), childPath(path, name))
            }

            descriptor.isElementOptional(index) -> {
                null
            }

            else -> {
                faults.missingField(childPath(path, name))
                placeholder(descriptor.getElementDescriptor(index))
            }
        }
    }

    private fun list(
        node: JsonNode,
        descriptor: SerialDescriptor,
        path: String,
    ): JsonElement {
        if (!node.isArray) {
            faults.wrongType(path, "a list", typeOf(node))
            return placeholder(descriptor)
        }
        val item = descriptor.getElementDescriptor(0)
        return JsonArray(node.mapIndexed { index, value -> check(value, item, "$path[$index]") })
    }

    private fun constant(
        node: JsonNode,
        descriptor: SerialDescriptor,
        path: String,
    ): JsonElement {
        val names = descriptor.elementNames.toList()
        if (!node.isTextual) {
            faults.wrongType(path, "one of ${names.joinToString()}", typeOf(node))
            return placeholder(descriptor)
        }
        if (node.textValue() !in names) {
            faults.outOfRange(path, "\"${node.textValue()}\"", "one of ${names.joinToString()}")
            return placeholder(descriptor)
        }
        return JsonPrimitive(node.textValue())
    }

    private fun duration(
        node: JsonNode,
        path: String,
    ): JsonElement {
        val value = if (node.isTextual) durationOf(node.textValue()) else null
        if (value == null) {
            faults.wrongUnit(path, node.toString())
        }
        return JsonPrimitive((value ?: Duration.ZERO).toIsoString())
    }

    private fun primitive(
        node: JsonNode,
        descriptor: SerialDescriptor,
        path: String,
    ): JsonElement {
        val value = primitiveOf(node, descriptor.kind)
        if (value == null) {
            faults.wrongType(path, expectedType(descriptor), typeOf(node))
        }
        return value ?: placeholder(descriptor)
    }
}

private fun primitiveOf(
    node: JsonNode,
    kind: SerialKind,
): JsonPrimitive? =
    when (kind) {
        PrimitiveKind.STRING -> {
            if (node.isTextual) JsonPrimitive(node.textValue()) else null
        }

        PrimitiveKind.BOOLEAN -> {
            if (node.isBoolean) JsonPrimitive(node.booleanValue()) else null
        }

        PrimitiveKind.INT -> {
            if (node.isIntegralNumber &&
                node.canConvertToInt()
            ) {
                JsonPrimitive(node.intValue())
            } else {
                null
            }
        }

        PrimitiveKind.LONG -> {
            if (node.isIntegralNumber &&
                node.canConvertToLong()
            ) {
                JsonPrimitive(node.longValue())
            } else {
                null
            }
        }

        PrimitiveKind.DOUBLE -> {
            if (node.isNumber &&
                node.doubleValue().isFinite()
            ) {
                JsonPrimitive(node.doubleValue())
            } else {
                null
            }
        }

        else -> {
            error("fields of kind $kind cannot be read from settings")
        }
    }

private fun expectedType(descriptor: SerialDescriptor): String =
    when (descriptor.kind) {
        PrimitiveKind.STRING -> "text"
        PrimitiveKind.BOOLEAN -> "true or false"
        PrimitiveKind.INT -> "a whole number of at most 32 bits"
        PrimitiveKind.LONG -> "a whole number of at most 64 bits"
        else -> "a finite number"
    }

private fun typeOf(node: JsonNode): String =
    when {
        node.isObject -> "a table"
        node.isArray -> "a list"
        node.isTextual -> "the text \"${node.textValue()}\""
        else -> node.asText()
    }

/** Returns a placeholder of the described type for a faulty value. */
private fun placeholder(descriptor: SerialDescriptor): JsonElement =
    when {
        descriptor.isNullable -> JsonNull
        descriptor.isInline -> placeholder(descriptor.getElementDescriptor(0))
        isDuration(descriptor) -> JsonPrimitive(Duration.ZERO.toIsoString())
        descriptor.kind == StructureKind.CLASS -> placeholderFields(descriptor)
        descriptor.kind == StructureKind.LIST -> JsonArray(emptyList())
        descriptor.kind == SerialKind.ENUM -> JsonPrimitive(descriptor.getElementName(0))
        descriptor.kind == PrimitiveKind.STRING -> JsonPrimitive("")
        descriptor.kind == PrimitiveKind.BOOLEAN -> JsonPrimitive(false)
        else -> JsonPrimitive(0)
    }

private fun placeholderFields(descriptor: SerialDescriptor): JsonElement =
    JsonObject(descriptor.elementNames.zip(descriptor.elementDescriptors.map(::placeholder)).toMap())

private fun isDuration(descriptor: SerialDescriptor): Boolean = descriptor.serialName.removeSuffix("?") == DURATION_NAME

private fun childPath(
    path: String,
    name: String,
): String = if (path.isEmpty()) name else "$path.$name"
