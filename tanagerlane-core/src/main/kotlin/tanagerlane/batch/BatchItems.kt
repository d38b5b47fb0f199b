package tanagerlane.batch

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import tanagerlane.documents.MAXIMUM_JSON_DEPTH
import tanagerlane.documents.jsonDepthOf
import tanagerlane.documents.jsonObjectOrNull
import tanagerlane.model.ModelName
import tanagerlane.model.Payload

/** Maximum length of a line of a submission, in bytes. */
public const val MAXIMUM_ITEM_BYTES: Int = 256 * 1024

/** Maximum length of a custom id, method, path or model name, in characters. */
public const val MAXIMUM_FIELD_LENGTH: Int = 512

/** Parses one line of a submission: an object with `custom_id`, `method`, `url` and a `body` that names a `model`. */
public fun parseItem(line: Payload): Result<BatchItem, ItemError> {
    if (line.size > MAXIMUM_ITEM_BYTES) {
        return Err(ItemError.TooLarge(MAXIMUM_ITEM_BYTES))
    }
    if (jsonDepthOf(line.toText()) > MAXIMUM_JSON_DEPTH) {
        return Err(ItemError.TooDeep(MAXIMUM_JSON_DEPTH))
    }
    val fields = jsonObjectOrNull(line.toText()) ?: return Err(ItemError.Malformed)
    val body = fields["body"] as? JsonObject ?: return Err(ItemError.MissingField("body"))
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

private fun JsonObject.text(name: String): Result<String, ItemError> {
    val value = this[name] as? JsonPrimitive
    return when {
        value == null || !value.isString || value.content.isEmpty() -> Err(ItemError.MissingField(name))
        value.content.length > MAXIMUM_FIELD_LENGTH -> Err(ItemError.FieldTooLong(name, MAXIMUM_FIELD_LENGTH))
        else -> Ok(value.content)
    }
}
