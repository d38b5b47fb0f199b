package tanagerlane.queueing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Limits of an [AdmissionQueue].
 *
 * @property window maximum number of entries that run at once
 * @property tokenBudget maximum number of tokens that all running entries together may hold in the engine's memory
 * @property workspaceEntries maximum number of waiting online entries of one workspace
 * @property batchEntries maximum number of waiting batch entries
 * @property batchPrefillTokens maximum number of tokens of batch entries that have started but produced nothing
 * yet; one such entry is always allowed
 * @property firstTokenTarget first-token latency of online entries above which batch entries get fewer slots; also
 * the longest time for which a started online entry without a first token keeps batch entries from starting
 */
public data class QueueSettings(
    val window: Int,
    val tokenBudget: Int,
    val workspaceEntries: Int = 256,
    val batchEntries: Int = 1024,
    val batchPrefillTokens: Int = 512,
    val firstTokenTarget: Duration = 330.milliseconds,
) {
    init {
        require(window > 0) { "window must be positive: $window" }
        require(tokenBudget > 0) { "tokenBudget must be positive: $tokenBudget" }
        require(workspaceEntries > 0) { "workspaceEntries must be positive: $workspaceEntries" }
        require(batchEntries > 0) { "batchEntries must be positive: $batchEntries" }
        require(firstTokenTarget.isPositive()) { "firstTokenTarget must be positive: $firstTokenTarget" }
    }
}
