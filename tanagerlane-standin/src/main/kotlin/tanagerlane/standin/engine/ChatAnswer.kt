package tanagerlane.standin.engine

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A whole answer or one event of a streamed one. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class ChatAnswer(
    val id: String,
    @SerialName("object") val kind: String,
    val created: Long,
    val model: String,
    val choices: List<Choice>,
    @EncodeDefault(EncodeDefault.Mode.NEVER) val usage: Usage? = null,
) {
    @Serializable
    data class Choice(
        val index: Int = 0,
        @EncodeDefault(EncodeDefault.Mode.NEVER) val message: Message? = null,
        @EncodeDefault(EncodeDefault.Mode.NEVER) val delta: Message? = null,
        @SerialName("finish_reason") val finishReason: String? = null,
    )

    @Serializable
    data class Message(
        @EncodeDefault(EncodeDefault.Mode.NEVER) val role: String? = null,
        @EncodeDefault(EncodeDefault.Mode.NEVER) val content: String? = null,
    )

    @Serializable
    data class Usage(
        @SerialName("prompt_tokens") val promptTokens: Int,
        @SerialName("completion_tokens") val completionTokens: Int,
        @SerialName("total_tokens") val totalTokens: Int = promptTokens + completionTokens,
    )
}
