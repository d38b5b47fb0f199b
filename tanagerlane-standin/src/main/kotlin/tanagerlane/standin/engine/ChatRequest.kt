package tanagerlane.standin.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/** Body of a chat completion call, as far as the engine reads it. */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<Message>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maximumTokens: Int = DEFAULT_TOKENS,
    @SerialName("resume_tokens") val resumeTokens: Int = 0,
) {
    /** Words of all messages. */
    val prompt: List<String> get() = messages.flatMap { it.words }

    @Serializable
    data class Message(
        val role: String,
        val content: JsonElement,
    ) {
        val words: List<String>
            get() {
                val text = (content as? JsonPrimitive)?.contentOrNull ?: content.toString()
                return text.split(' ', '\n').filter { it.isNotEmpty() }
            }
    }

    companion object {
        const val DEFAULT_TOKENS = 16
    }
}
