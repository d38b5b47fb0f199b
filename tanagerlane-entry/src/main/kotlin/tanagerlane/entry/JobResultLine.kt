package tanagerlane.entry

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import tanagerlane.documents.jsonElementOrNull
import tanagerlane.job.ItemResult
import tanagerlane.model.Payload

/** Formats [result] as a line of a batch output file of the chat completion API. */
internal fun resultLine(result: ItemResult): String =
    buildJsonObject {
        put("custom_id", result.customId)
        put("response", responseOf(result))
        put("error", errorOf(result))
    }.toString()

private fun responseOf(result: ItemResult): JsonElement {
    if (result.failure != null) {
        return JsonNull
    }
    return buildJsonObject {
        put("status_code", result.statusCode)
        put("body", jsonOrText(result.body))
    }
}

private fun errorOf(result: ItemResult): JsonElement {
    val failure = result.failure ?: return JsonNull
    return buildJsonObject {
        put("code", failure.name.lowercase())
        result.reason?.let { put("reason", it.name.lowercase()) }
    }
}

private fun jsonOrText(body: Payload): JsonElement {
    val text = body.toText()
    return jsonElementOrNull(text) ?: JsonPrimitive(text)
}
