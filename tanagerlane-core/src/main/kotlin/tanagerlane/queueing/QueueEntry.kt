package tanagerlane.queueing

import tanagerlane.model.AttemptId
import tanagerlane.model.RequestClass
import tanagerlane.model.WorkspaceName
import kotlin.time.Instant

/**
 * Work that asks for a place on a target.
 *
 * @property workspace workspace that pays; null on routes open to all, which share one place in the order
 * @property promptTokens tokens that the engine takes in before it produces the first one
 * @property maximumTokens most tokens that it may produce
 * @property weight share of a busy target relative to other workspaces
 * @property deadline time by which an online entry must have started; batch entries are ordered by it and start
 * after it too
 */
public data class QueueEntry(
    val id: AttemptId,
    val workspace: WorkspaceName?,
    val requestClass: RequestClass,
    val promptTokens: Int,
    val maximumTokens: Int,
    val weight: Int,
    val deadline: Instant,
) {
    init {
        require(promptTokens >= 0) { "promptTokens must not be negative: $promptTokens" }
        require(maximumTokens >= 0) { "maximumTokens must not be negative: $maximumTokens" }
        require(weight > 0) { "weight must be positive: $weight" }
    }

    /** Tokens that the entry may hold in the engine's memory. */
    public val tokens: Int get() = promptTokens + maximumTokens
}
