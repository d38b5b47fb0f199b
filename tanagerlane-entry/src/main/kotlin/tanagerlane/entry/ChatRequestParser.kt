package tanagerlane.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import tanagerlane.documents.MAXIMUM_JSON_DEPTH
import tanagerlane.documents.jsonObjectOrNull
import tanagerlane.inventory.Model
import tanagerlane.message.ChatWork
import tanagerlane.model.ModelName
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState

/**
 * Parses the bodies of chat completion requests.
 *
 * @param models models that callers may name
 */
internal class ChatRequestParser(
    models: List<Model>,
) {
    private val models = models.associateBy { it.name }

    /** Parses [body]; the refusal names the field that is missing or invalid. */
    fun parse(body: Payload): Result<ChatWork, CallerRefusal> {
        val document =
            jsonObjectOrNull(body.toText())
                ?: return malformed("The body is not a JSON object of at most $MAXIMUM_JSON_DEPTH levels.")
        val name = text(document, "model") ?: return malformed("The field model is missing or not a string.")
        val messages = document["messages"] as? JsonArray
        if (messages.isNullOrEmpty()) {
            return malformed("The field messages is missing, empty or not an array.")
        }
        val model = models[ModelName(name)] ?: return Err(notFound(name))
        COUNT_FIELDS.firstOrNull { !isCountOrMissing(document[it]) }?.let { field ->
            val shown = document[field].toString().take(MAXIMUM_SHOWN_CHARACTERS)
            return malformed("The field $field is not a whole number above 0: $shown")
        }
        return Ok(workOf(document, model, body))
    }

    private fun workOf(
        document: JsonObject,
        model: Model,
        body: Payload,
    ): ChatWork {
        val requested = TOKEN_LIMIT_FIELDS.firstNotNullOfOrNull { number(document, it) }
        return ChatWork(
            model = model.name,
            body = withLoweredLimits(document, model, body),
            streamed = (document["stream"] as? JsonPrimitive)?.booleanOrNull ?: false,
            maximumTokens = minOf(requested ?: model.maximumTokens, model.maximumTokens),
        )
    }

    /** Returns [body] with its token limits lowered to the maximum of [model], which targets need not enforce. */
    private fun withLoweredLimits(
        document: JsonObject,
        model: Model,
        body: Payload,
    ): Payload {
        val excessive =
            TOKEN_LIMIT_FIELDS.filter { field -> number(document, field)?.let { it > model.maximumTokens } ?: false }
        if (excessive.isEmpty()) {
            return body
        }
        val lowered = excessive.associateWith { JsonPrimitive(model.maximumTokens) }
        return Payload.of(JsonObject(document + lowered).toString())
    }

    private fun text(
        document: JsonObject,
        field: String,
    ): String? = (document[field] as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull

    private fun number(
        document: JsonObject,
        field: String,
    ): Int? = (document[field] as? JsonPrimitive)?.intOrNull

    private fun isCountOrMissing(value: JsonElement?): Boolean {
        val number = (value as? JsonPrimitive)?.takeIf { !it.isString }?.intOrNull
        return value == null || value is JsonNull || (number != null && number > 0)
    }

    private fun malformed(explanation: String): Result<ChatWork, CallerRefusal> =
        Err(CallerRefusal(RefusalReason.MALFORMED, RunState.NOT_RUN, explanation))

    private fun notFound(name: String): CallerRefusal =
        CallerRefusal(RefusalReason.NOT_FOUND, RunState.NOT_RUN, "There is no model $name.")

    private companion object {
        /** Fields that limit the tokens of an answer; the first one that is present takes precedence. */
        val TOKEN_LIMIT_FIELDS = listOf("max_completion_tokens", "max_tokens")

        /** Fields that hold a number of tokens or of answers. */
        val COUNT_FIELDS = TOKEN_LIMIT_FIELDS + "n"
        const val MAXIMUM_SHOWN_CHARACTERS = 60
    }
}
