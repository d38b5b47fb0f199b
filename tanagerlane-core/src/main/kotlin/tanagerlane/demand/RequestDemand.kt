package tanagerlane.demand

/**
 * What a request asks of the target that runs it, as far as its caller has stated it; callers may be wrong.
 *
 * @property promptTokens length of the prompt in tokens, or null if it is not stated
 * @property maximumOutputTokens maximum length of the answer in tokens, or null if it is not stated
 * @property expectedOutputTokens the caller's estimate of the length of the answer in tokens, or null
 * @property parts parts of the prompt in order, each with its length in tokens; the last one is not shared
 */
public data class RequestDemand(
    val promptTokens: Int? = null,
    val maximumOutputTokens: Int? = null,
    val expectedOutputTokens: Int? = null,
    val parts: List<SizedPart> = emptyList(),
)
