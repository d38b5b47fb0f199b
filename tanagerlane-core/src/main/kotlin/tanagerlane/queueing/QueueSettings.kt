package tanagerlane.queueing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Limits of an [AdmissionQueue].
 *
 * @property window most entries that run at once
 * @property tokenBudget most tokens that running entries may hold in the engine's memory together
 * @property workspaceEntries most online entries of one workspace that wait
 * @property batchEntries most batch entries that wait
 * @property batchPrefillTokens most tokens of batch entries that have started but produced nothing yet; one entry
 * may always be in that state
 * @property firstTokenTarget first-token latency of online entries above which batch entries get fewer slots; also
 * the longest time that a started online entry without a first token keeps batch entries from starting
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
