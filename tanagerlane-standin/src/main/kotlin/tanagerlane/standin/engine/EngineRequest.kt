package tanagerlane.standin.engine

import tanagerlane.model.RequestId

/**
 * A sequence for the engine to generate.
 *
 * @property prompt words of the prompt, one token each
 * @property maximumTokens tokens that the whole answer has
 * @property resumeTokens leading tokens of the answer that were generated before
 */
public data class EngineRequest(
    val id: RequestId,
    val prompt: List<String>,
    val maximumTokens: Int,
    val resumeTokens: Int = 0,
) {
    init {
        require(maximumTokens > 0) { "maximumTokens must be positive: $maximumTokens" }
        require(resumeTokens in 0..maximumTokens) { "resumeTokens out of range: $resumeTokens of $maximumTokens" }
    }
}
