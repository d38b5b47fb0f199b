package tanagerlane.sidecar.engine

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.put
import tanagerlane.documents.jsonObjectOrNull
import tanagerlane.message.ChatWork
import tanagerlane.model.Payload

/** Body of a chat completion whose run can be stopped and resumed. */
internal class ChatBody private constructor(
    private val fields: JsonObject,
    private val work: ChatWork,
) {
    /** Most tokens that the answer has. */
    val maximumTokens: Int
        get() =
            TOKEN_LIMIT_FIELDS.firstNotNullOfOrNull { number(fields[it]) }?.coerceAtMost(work.maximumTokens)
                ?: work.maximumTokens

    /** Returns the body that asks for a stream from the token at place [tokens] on. */
    fun resumedAt(tokens: Int): Payload {
        val changes =
            mapOf(
                "stream" to JsonPrimitive(true),
                "stream_options" to buildJsonObject { put("include_usage", true) },
                "max_tokens" to JsonPrimitive(maximumTokens),
                "resume_tokens" to JsonPrimitive(tokens),
            )
        return Payload.of(JsonObject(fields - TOKEN_LIMIT_FIELDS + changes).toString())
    }

    companion object {
        private val TOKEN_LIMIT_FIELDS = listOf("max_completion_tokens", "max_tokens")
        private val UNSUPPORTED_FIELDS = listOf("tools", "functions", "logprobs")

        /** Reads the body of [work]; null when its answer has more than one text and cannot be put together. */
        fun of(work: ChatWork): ChatBody? {
            val fields = jsonObjectOrNull(work.body.toText()) ?: return null
            val single = number(fields["n"]).let { it == null || it == 1 }
            return if (single && UNSUPPORTED_FIELDS.none { it in fields }) ChatBody(fields, work) else null
        }

        private fun number(element: JsonElement?): Int? = (element as? JsonPrimitive)?.intOrNull
    }
}
