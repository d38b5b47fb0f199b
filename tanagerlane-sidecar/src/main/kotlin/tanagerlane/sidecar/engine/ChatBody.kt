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

/** Request body of a chat completion whose run can be stopped and resumed. */
internal class ChatBody private constructor(
    private val fields: JsonObject,
    private val work: ChatWork,
) {
    /** Maximum number of tokens in the answer. */
    val maximumTokens: Int
        get() =
            TOKEN_LIMIT_FIELDS.firstNotNullOfOrNull { number(fields[it]) }?.coerceAtMost(work.maximumTokens)
                ?: work.maximumTokens

    /** Returns the body of a streaming request that skips the first [tokens] tokens of the answer. */
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

        /** Fields whose answers cannot be assembled from several runs. */
        private val UNSUPPORTED_FIELDS = listOf("tools", "functions", "logprobs")

        /**
         * Parses the body of [work].
         *
         * Returns null if it is no JSON object, or if its answer has several texts or cannot be assembled from several runs.
         */
        fun of(work: ChatWork): ChatBody? {
            val fields = jsonObjectOrNull(work.body.toText()) ?: return null
            val single = number(fields["n"]).let { it == null || it == 1 }
            return if (single && UNSUPPORTED_FIELDS.none { it in fields }) ChatBody(fields, work) else null
        }

        private fun number(element: JsonElement?): Int? = (element as? JsonPrimitive)?.intOrNull
    }
}
