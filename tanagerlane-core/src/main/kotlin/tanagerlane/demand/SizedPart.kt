package tanagerlane.demand

import tanagerlane.model.PromptPart

/** A part of a prompt that is [tokens] long. */
public data class SizedPart(
    val part: PromptPart,
    val tokens: Int,
)
