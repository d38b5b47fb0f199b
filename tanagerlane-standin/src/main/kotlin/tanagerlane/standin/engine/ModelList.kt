package tanagerlane.standin.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Models that the engine serves. */
@Serializable
internal data class ModelList(
    @SerialName("object") val kind: String,
    val data: List<Entry>,
) {
    @Serializable
    data class Entry(
        val id: String,
        @SerialName("object") val kind: String,
    )

    companion object {
        fun of(models: List<String>): ModelList = ModelList("list", models.map { Entry(it, "model") })
    }
}
