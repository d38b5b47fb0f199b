package tanagerlane.queueing

import tanagerlane.model.AttemptId
import tanagerlane.model.RequestClass
import tanagerlane.model.WorkspaceName
import kotlin.time.Instant

/**
 * A request for a slot on a target.
 *
 * @property workspace workspace that is charged; null on public routes, which share one flow of the fair queue
 * @property promptTokens tokens that the engine processes before it produces the first one
 * @property maximumTokens maximum number of tokens that the entry may produce
 * @property weight share of a busy target relative to other workspaces
 * @property deadline time by which an online entry must have started; batch entries are ordered by it and may start
 * after it
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

    /** Maximum number of tokens that the entry may hold in the engine's memory. */
    public val tokens: Int get() = promptTokens + maximumTokens
}
