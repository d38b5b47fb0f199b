package tanagerlane.sidecar.engine

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.put
import tanagerlane.documents.jsonObjectOrNull
import tanagerlane.model.Payload

/**
 * The answer to one chat completion, assembled from the events of one or more runs.
 *
 * Each event with content counts as one token; a resumed run skips as many tokens as were received.
 */
internal class ChatTranscript(
    private val maximumTokens: Int,
) {
    private val content = StringBuilder()
    private var first: JsonObject? = null
    private var finishReason: String? = null
    private var usage: JsonElement? = null

    /** Number of tokens received. */
    @Volatile
    var tokens: Int = 0
        private set

    /** Whether the answer is complete. */
    val isComplete: Boolean get() = finishReason != null || tokens >= maximumTokens

    /** Adds the [data] of one event; data that is not part of an answer is ignored. */
    fun add(data: String) {
        val event = jsonObjectOrNull(data) ?: return
        first = first ?: event
        event["usage"]?.takeIf { it is JsonObject }?.let { usage = it }
        val choice = (event["choices"] as? JsonArray)?.firstOrNull() as? JsonObject ?: return
        text(choice["finish_reason"])?.let { finishReason = it }
        val piece = (choice["delta"] as? JsonObject)?.let { text(it["content"]) }
        if (!piece.isNullOrEmpty()) {
            content.append(piece)
            tokens += 1
        }
    }

    /** Returns the answer in the format of a call without streaming. */
    fun answer(): Payload {
        val head = first ?: JsonObject(emptyMap())
        val answer =
            buildJsonObject {
                listOf("id", "created", "model").forEach { name -> head[name]?.let { put(name, it) } }
                put("object", "chat.completion")
                put("choices", buildJsonArray { add(choice()) })
                usage?.let { put("usage", it) }
            }
        return Payload.of(answer.toString())
    }

    private fun choice(): JsonObject =
        buildJsonObject {
            put("index", 0)
            put(
                "message",
                buildJsonObject {
                    put("role", "assistant")
                    put("content", content.toString())
                },
            )
            put("finish_reason", finishReason ?: "length")
        }

    private fun text(element: JsonElement?): String? =
        (element as? JsonPrimitive)?.takeIf { it !is JsonNull }?.contentOrNull
}
