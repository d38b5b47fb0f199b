package tanagerlane.standin.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * Size and speed of a simulated engine.
 *
 * @property maximumSequences most sequences that run at once; more wait in order of arrival
 * @property stepTime time of a step that runs one sequence
 * @property sequenceTime time that each further running sequence adds to a step
 * @property prefillTime time that each prompt token outside the prefix cache adds to a step
 * @property prefillTokensPerStep most prompt tokens that one step takes in
 * @property cacheBlocks most blocks of [BLOCK_TOKENS] prompt tokens that the prefix cache holds
 * @property seed decides the text that the engine generates
 */
public data class EngineSettings(
    val maximumSequences: Int = 16,
    val stepTime: Duration = 4.milliseconds,
    val sequenceTime: Duration = 100.microseconds,
    val prefillTime: Duration = 10.microseconds,
    val prefillTokensPerStep: Int = 2048,
    val cacheBlocks: Int = 4096,
    val seed: Long = 1,
) {
    init {
        require(maximumSequences > 0) { "maximumSequences must be positive: $maximumSequences" }
        require(prefillTokensPerStep > 0) { "prefillTokensPerStep must be positive: $prefillTokensPerStep" }
    }

    public companion object {
        /** Prompt tokens that share one entry of the prefix cache. */
        public const val BLOCK_TOKENS: Int = 16
    }
}
