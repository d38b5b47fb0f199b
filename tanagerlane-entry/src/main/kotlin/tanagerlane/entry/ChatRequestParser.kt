package tanagerlane.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import tanagerlane.inventory.Model
import tanagerlane.message.ChatWork
import tanagerlane.model.ModelName
import tanagerlane.model.Payload
import tanagerlane.model.RefusalReason
import tanagerlane.model.RunState

/** Reads bodies of chat completions. */
internal class ChatRequestParser(
    models: List<Model>,
) {
    private val models = models.associateBy { it.name }

    /** Reads [body]; the refusal names the field that is missing or wrong. */
    fun parse(body: Payload): Result<ChatWork, CallerRefusal> {
        val document = objectOrNull(body) ?: return malformed("The body is not a JSON object.")
        val name = text(document, "model") ?: return malformed("The field model is missing or not text.")
        val messages = document["messages"] as? JsonArray
        if (messages.isNullOrEmpty()) {
            return malformed("The field messages is missing, empty or not an array.")
        }
        val model = models[ModelName(name)] ?: return Err(notFound(name))
        return Ok(workOf(document, model, body))
    }

    private fun workOf(
        document: JsonObject,
        model: Model,
        body: Payload,
    ): ChatWork {
        val asked = number(document, "max_completion_tokens") ?: number(document, "max_tokens")
        return ChatWork(
            model = model.name,
            body = body,
            streamed = (document["stream"] as? JsonPrimitive)?.booleanOrNull ?: false,
            maximumTokens = minOf(asked ?: model.maximumTokens, model.maximumTokens),
        )
    }

    private fun objectOrNull(body: Payload): JsonObject? =
        try {
            Json.parseToJsonElement(body.toText()) as? JsonObject
        } catch (_: SerializationException) {
            null
        }

    private fun text(
        document: JsonObject,
        field: String,
    ): String? = (document[field] as? JsonPrimitive)?.takeIf { it.isString }?.contentOrNull

    private fun number(
        document: JsonObject,
        field: String,
    ): Int? = (document[field] as? JsonPrimitive)?.intOrNull

    private fun malformed(explanation: String): Result<ChatWork, CallerRefusal> =
        Err(CallerRefusal(RefusalReason.MALFORMED, RunState.NOT_RUN, explanation))

    private fun notFound(name: String): CallerRefusal =
        CallerRefusal(RefusalReason.NOT_FOUND, RunState.NOT_RUN, "There is no model $name.")
}
