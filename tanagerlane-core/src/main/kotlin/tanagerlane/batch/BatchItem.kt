package tanagerlane.batch

import tanagerlane.model.ModelName
import tanagerlane.model.Payload

/** One item of a batch job, parsed from a line of its submission. */
public data class BatchItem(
    val customId: String,
    val method: String,
    val url: String,
    val model: ModelName,
    val body: Payload,
)
