package tanagerlane.batch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import tanagerlane.model.ModelName
import tanagerlane.model.Payload

/** Largest line of a submission in bytes. */
public const val MAXIMUM_ITEM_BYTES: Int = 256 * 1024

/** Most characters of a custom id, method, path or model's name. */
public const val MAXIMUM_FIELD_LENGTH: Int = 512

/** Deepest nesting of objects and lists in a line. */
public const val MAXIMUM_ITEM_DEPTH: Int = 128

/** Reads one line of a submission: an object with `custom_id`, `method`, `url` and `body`, which names a `model`. */
public fun parseItem(line: Payload): Result<BatchItem, ItemFault> {
    if (line.size > MAXIMUM_ITEM_BYTES) {
        return Err(ItemFault.TooLarge(MAXIMUM_ITEM_BYTES))
    }
    if (depthOf(line) > MAXIMUM_ITEM_DEPTH) {
        return Err(ItemFault.TooDeep(MAXIMUM_ITEM_DEPTH))
    }
    val fields = objectOf(line) ?: return Err(ItemFault.Malformed)
    val body = fields["body"] as? JsonObject ?: return Err(ItemFault.MissingField("body"))
    return Ok(
        BatchItem(
            customId = fields.text("custom_id").getOrElse { return Err(it) },
            method = fields.text("method").getOrElse { return Err(it) },
            url = fields.text("url").getOrElse { return Err(it) },
            model = ModelName(body.text("model").getOrElse { return Err(it) }),
            body = Payload.of(body.toString()),
        ),
    )
}

/** Returns the deepest nesting of brackets outside strings. */
private fun depthOf(line: Payload): Int {
    var depth = 0
    var deepest = 0
    var inString = false
    var escaped = false
    for (character in line.toText()) {
        when {
            escaped -> escaped = false
            inString && character == '\\' -> escaped = true
            character == '"' -> inString = !inString
            inString -> Unit
            character == '{' || character == '[' -> depth++
            character == '}' || character == ']' -> depth--
        }
        deepest = maxOf(deepest, depth)
    }
    return deepest
}

private fun objectOf(line: Payload): JsonObject? =
    try {
        Json.parseToJsonElement(line.toText()) as? JsonObject
    } catch (_: SerializationException) {
        null
    }

private fun JsonObject.text(name: String): Result<String, ItemFault> {
    val value = this[name] as? JsonPrimitive
    return when {
        value == null || !value.isString || value.content.isEmpty() -> Err(ItemFault.MissingField(name))
        value.content.length > MAXIMUM_FIELD_LENGTH -> Err(ItemFault.FieldTooLong(name, MAXIMUM_FIELD_LENGTH))
        else -> Ok(value.content)
    }
}
