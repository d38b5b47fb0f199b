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
 * Each event with content counts as one token; a resumed run skips as many tokens as were received. The version of the
 * engine's software is the `system_fingerprint` that a run tells up to its first such event.
 */
internal class ChatTranscript(
    private val maximumTokens: Int,
) {
    private val content = StringBuilder()
    private var first: JsonObject? = null
    private var finishReason: String? = null
    private var usage: JsonElement? = null
    private var version: String? = null
    private var runVersion: String? = null
    private var isRunChecked = false

    /** Number of tokens received. */
    @Volatile
    var tokens: Int = 0
        private set

    /** Whether the answer is complete. */
    val isComplete: Boolean get() = finishReason != null || tokens >= maximumTokens

    /** Marks the beginning of a run, to which all further events belong. */
    fun beginRun() {
        runVersion = null
        isRunChecked = false
    }

    /**
     * Adds the [data] of one event; data that is not part of an answer is ignored.
     *
     * @throws OtherVersionException if the event comes from another version than the tokens received, and adds nothing
     */
    fun add(data: String) {
        val event = jsonObjectOrNull(data) ?: return
        runVersion = runVersion ?: text(event["system_fingerprint"])
        val choice = (event["choices"] as? JsonArray)?.firstOrNull() as? JsonObject
        val piece = (choice?.get("delta") as? JsonObject)?.let { text(it["content"]) }.orEmpty()
        val reason = text(choice?.get("finish_reason"))
        if (!isRunChecked && (piece.isNotEmpty() || reason != null)) {
            checkVersion()
        }
        first = first ?: event
        event["usage"]?.takeIf { it is JsonObject }?.let { usage = it }
        reason?.let { finishReason = it }
        if (piece.isNotEmpty()) {
            content.append(piece)
            tokens += 1
        }
    }

    private fun checkVersion() {
        if (tokens > 0 && runVersion != version) {
            throw OtherVersionException("began at version $version, resumed at $runVersion")
        }
        version = runVersion
        isRunChecked = true
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
