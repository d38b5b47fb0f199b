package tanagerlane.batch

import tanagerlane.model.ModelName
import tanagerlane.model.Payload

/** One line of a submission. */
public data class BatchItem(
    val customId: String,
    val method: String,
    val url: String,
    val model: ModelName,
    val body: Payload,
)
